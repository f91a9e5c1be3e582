#pragma once

#include "distribution/SourceClient.h"
#include "distribution/SourceService.h"
#include "failover/LeaseMonitor.h"

#include <functional>
#include <optional>
#include <random>

namespace parsleypaddle {

/// Decides whether this daemon holds a row of the lease table and reads the platform itself, or subscribes to a holder of its failure
/// domain. A failure domain has three holders, so calls to the platform depend on the number of failure domains instead of the number
/// of daemons. Any daemon becomes a holder when it finds none to subscribe to.
class SourceRole {
public:
    /// Dependencies of a SourceRole.
    struct Context {
        EventLoop& loop;
        LeaseMonitor& leaseMonitor;
        InstanceLease& lease;
        SharedRows& rows;
        SourceService& service;
        PeerConnector& connector;
        DecisionLog& log;
        /// Whether this daemon may give up its row now. It must not while it carries out a change of primary.
        std::function<bool()> mayStepDown;
        /// Within which a change of the configuration is promised to be in force.
        Milliseconds configurationBound;
    };

    /// `seed` of random delays; it must differ between daemons.
    SourceRole(Context, uint64_t seed);
    ~SourceRole();

    /// Reads the leases and begins as a holder or subscriber. In the first start of the whole fleet there is no holder yet, so this waits
    /// for a random time first.
    void start(bool isFirstStart);
    /// Checks the role. To be called after the leases were read.
    void reconsider();
    /// Sends the subscribers elsewhere, because this daemon is about to stop. It becomes no holder any more, but follows the platform's
    /// tables until leave() is called.
    void stopServing();
    /// Leaves the source. To be called after the lease was released.
    void leave();

    bool isHolder() const { return m_state == State::Holding || m_state == State::SteppingDown; }

private:
    enum class State {
        /// Looking for a source.
        Searching,
        Subscribed,
        Holding,
        /// Holds a row until the subscribers have left and another holder grants this daemon its lease.
        SteppingDown,
    };

    void checkOwnPath();
    void searchAgain();
    void readLeases(Milliseconds delay);
    void applyLeases(const absl::StatusOr<LeaseTable>&);
    void search(const LeaseTable&);
    void searchWhileStopping();
    void hold(std::string_view why);
    void attach();
    void completeStepDown();
    void cancelStepDown();
    void readTablesOnceHolding(Instant latest);
    void leaveSourceOnceHolding();
    std::vector<Peer> holders() const;
    std::vector<Peer> reachableHolders() const;
    /// Number of listed daemons in the own failure domain, of those with or without rows, that go before this one.
    size_t ownRank(bool amongHolders) const;
    /// Number of listed daemons in the own failure domain, this one included.
    size_t domainSize() const;
    Milliseconds searchDelay();
    Milliseconds randomDelay(Milliseconds limit);

    Context m_context;
    std::mt19937_64 m_random;
    SourceClient m_client;
    State m_state { State::Searching };
    /// When this daemon became a holder.
    Instant m_holdingSince;
    /// Whether this daemon has waited for a random time before it becomes a holder.
    bool m_hasWaited { false };
    bool m_isStopping { false };
    bool m_hasLeft { false };
    /// When the leases are read next; unset while a read is answered or none is due.
    std::optional<Instant> m_nextRead;
    bool m_isReading { false };
    /// Whether the platform has answered this daemon while its sources had lost the platform.
    bool m_hasOwnPath { false };
    /// When the platform last failed to answer this daemon while its sources had lost it, too.
    std::optional<Instant> m_ownPathFailedAt;
    uint32_t m_failedReads { 0 };
    /// How often in a row no candidate served this daemon.
    uint32_t m_exhaustions { 0 };
    TimerId m_timer { TimerId::None };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
