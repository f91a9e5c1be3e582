#pragma once

#include "base/Time.h"
#include "configuration/Configuration.h"

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

namespace parsleypaddle {

/// Chooses between calling the platform directly and calling it through a peer, a daemon that forwards the call. Peers are
/// used while the platform rejects this daemon's calls or does not answer them. Does no I/O; used on the event loop's thread
/// only.
class PlatformPathSelector {
public:
    /// The path of one call to the platform.
    struct Path {
        TargetAddress address;
        bool isDirect { true };
        /// False after a failure until a call on this path is answered. While it is false, a watch request should ask for an
        /// immediate answer, so that an unresponsive path is detected early.
        bool isVerified { true };
        Instant chosenAt;
    };

    /// `seed` must differ between daemons, so that rejected daemons choose different peers.
    PlatformPathSelector(TargetAddress direct, uint64_t seed);

    /// Sets the addresses of the daemons that forward calls.
    void setPeers(std::vector<TargetAddress> peers) { m_peers = std::move(peers); }

    /// Chooses the path of the next call. While there are peers, a direct path that failed is retried by one
    /// call after each retry delay, and the other calls use peers.
    Path choose(Instant now);

    /// Records whether the platform answered the call on this path. Returns true for the first answer after a failure, once for
    /// direct calls and once for calls through peers. It shows that the platform is reachable on that path again.
    bool report(const Path&, bool wasAnswered, Instant now);

    Path directPath(Instant now) const { return { m_direct, true, false, now }; }
    /// The path through the next peer in turn, whatever is known of it. Unset without peers.
    std::optional<Path> nextPeerPath(Instant now);
    /// The path through the peer in use, if the platform has answered on it. Unset otherwise.
    std::optional<Path> verifiedPeerPath(Instant now) const;
    /// Makes the path through a peer the one in use while the direct path fails. To be called when the platform has answered on it.
    void adoptPeer(const Path&);

    /// When a call on the direct path last failed. Watches that were sent before may hang, even if a call that was sent still earlier is the
    /// first to be answered.
    Instant lastFailureAt() const { return m_lastFailureAt; }

private:
    TargetAddress m_direct;
    std::vector<TargetAddress> m_peers;
    /// Consecutive failures of the direct path.
    uint32_t m_consecutiveFailures { 0 };
    Instant m_lastFailureAt;
    Instant m_nextDirectAttempt;
    bool m_isPeerVerified { false };
    size_t m_peerIndex { 0 };
    size_t m_nextPeer { 0 };
    std::mt19937_64 m_random;
};

}
