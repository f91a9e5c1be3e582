#pragma once

#include "base/EventLoop.h"
#include "distribution/PeerChannel.h"
#include "distribution/SharedRows.h"
#include "failover/LeaseMonitor.h"
#include "leases/InstanceLease.h"
#include "telemetry/DecisionLog.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace parsleypaddle {

/// Keeps this daemon subscribed to one of several sources. Moves to the next one when the source is silent, closes the channel, stops
/// serving, or has not reached the platform for some time while there are others.
class SourceClient {
public:
    struct Callbacks {
        /// A source serves this daemon. Called for each source.
        std::function<void()> onAttached;
        /// The source has extended this daemon's lease.
        std::function<void()> onGranted;
        /// The platform has not answered any source for some time. Called at each answer of the source meanwhile.
        std::function<void()> onStale;
        /// No candidate serves this daemon. The client does nothing until it is started again.
        std::function<void()> onExhausted;
    };

    /// `maxPlatformAge`: a source that the platform has not answered for longer may have missed a change.
    SourceClient(EventLoop&, PeerConnector&, SharedRows&, InstanceLease&, DecisionLog&, Milliseconds maxPlatformAge, Callbacks);
    ~SourceClient();

    /// Sets the daemons that may serve as sources. A source in use stays in use, even if it is not among them.
    void setCandidates(const std::vector<Peer>&);
    /// Starts to subscribe, unless this daemon does so already. Calls onExhausted() if there is no candidate.
    void start();
    /// Leaves the source. This daemon must no longer rely on its grants. If it `holdsRow` now, sources that have lost the platform tell
    /// their subscribers of it.
    void stop(bool holdsRow = false);
    /// Moves from a source that has lost the platform to another one, if there is one. Returns whether it moved.
    bool moveFromStale();
    /// Reports the confirmed epoch and asks for a longer grant now.
    void renew();

    bool isAttached() const { return m_link && m_link->isAttached; }
    bool isStarted() const { return m_link != nullptr; }
    /// Whether the source in use has not reached the platform for some time.
    bool isStale() const { return m_link && m_link->isStale; }
    /// Whether the daemon failed as a source some seconds ago, so that it is not tried now.
    bool isAvoided(const InstanceId&) const;
    /// Allows daemons that have refused this one to be tried again, but not those that were silent.
    void forgetRefusals();
    /// Sends a request for a table to the source, if there is one.
    void request(const TableRequest&);

private:
    /// Why a source was left.
    enum class Loss {
        /// It closed the channel or does not serve.
        Refused,
        /// It did not answer.
        Silent,
        /// It has not reached the platform for some time, but still serves.
        Stale,
    };

    struct Link {
        Peer source;
        std::shared_ptr<PeerChannel> channel;
        bool isAttached { false };
        bool isStale { false };
        /// When each unanswered renewal was sent.
        std::map<uint64_t, Instant> renewals;
        /// When bytes arrived last.
        Instant receivedAt;
    };

    PeerChannelCallbacks callbacksFor(const std::shared_ptr<Link>&);
    void connectNext();
    /// The best candidate that is not avoided; null if there is none.
    const Peer* nextCandidate() const;
    /// The best candidate that was left only because it was stale; null if there is none.
    const Peer* staleCandidate() const;
    void applyLine(std::string_view line);
    void apply(const GrantMessage&);
    void apply(TableReply&);
    void reject(const absl::Status&);
    void apply(const StopMessage&);
    template <typename Message>
    void apply(const Message&);
    void attach();
    void renewAfter(Milliseconds);
    void scheduleRenewal(Milliseconds platformAge);
    void addCandidate(const LeaseMember&);
    void announceToStaleSources();
    void tick();
    void lose(const std::string& why, Loss = Loss::Refused);
    void send(const SourceMessage&);

    EventLoop& m_loop;
    PeerConnector& m_connector;
    SharedRows& m_rows;
    InstanceLease& m_lease;
    DecisionLog& m_log;
    Milliseconds m_maxPlatformAge;
    Callbacks m_callbacks;
    std::vector<Peer> m_candidates;
    struct Avoidance {
        Instant until;
        Loss loss { Loss::Refused };
    };

    /// Sources that failed, and until when they are not tried again.
    std::map<InstanceId, Avoidance> m_avoided;
    std::shared_ptr<Link> m_link;
    uint64_t m_lastNumber { 0 };
    TimerId m_timer { TimerId::None };
};

}
