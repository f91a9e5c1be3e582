#pragma once

#include "base/Time.h"
#include "configuration/Configuration.h"

#include <cstddef>
#include <random>
#include <vector>

namespace parsleypaddle {

/// Decides by which way the platform is called: directly, or through another daemon while the platform refuses this one
/// or cannot be reached from here. Pure; belongs to the loop's thread.
class PlatformPath {
public:
    /// One way to the platform.
    struct Way {
        TargetAddress address;
        bool isDirect { true };
        /// Whether the last call that went this way was answered; where not, a call should not wait long.
        bool isProven { true };
        Instant chosenAt;
    };

    /// `seed` spreads the daemons that are refused over those that are not.
    PlatformPath(TargetAddress direct, uint64_t seed);

    /// Daemons that pass calls on.
    void setPeers(std::vector<TargetAddress> peers) { m_peers = std::move(peers); }

    Way choose(Instant now);

    /// How the call went that chose `way`. Returns whether it shows that the platform is reached again after it was not.
    bool report(const Way&, bool isReached, Instant now);

private:
    TargetAddress m_direct;
    std::vector<TargetAddress> m_peers;
    /// Failures of the direct way in a row.
    uint32_t m_failures { 0 };
    Instant m_failedAt;
    Instant m_nextDirect;
    bool m_isPeerProven { false };
    size_t m_peer { 0 };
    std::mt19937_64 m_random;
};

}
