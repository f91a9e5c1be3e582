#pragma once

#include "directory/TableWatch.h"
#include "failover/FailoverManager.h"
#include "platform_ports/FakeRows.h"
#include "relay/RelayFixture.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace parsleypaddle {

/// A promotion that a daemon requested from the platform.
struct PromotionRequest {
    TargetId target;
    InstanceId leaseHolder;
    RowVersion fencingToken;
    Instant at;
    /// When its caller withdraws it.
    Instant until;
};

/// Fake of the platform's promotions. Each takes effect some time after it was requested.
class FakePromotions final : public PromotionPort {
public:
    FakePromotions(EventLoop& loop, SimulatedTargets& targets)
        : m_loop(loop)
        , m_targets(targets)
    {
    }

    void promote(const GroupId&, const TargetId&, const InstanceId& leaseHolder, RowVersion fencingToken, Instant until, Done) override;

    /// Whether no request had a lower token than an earlier one, nor the same as that of another daemon.
    bool areFencingTokensOrdered() const;

    /// Promotions take effect, but the caller gets an error after 1500 ms.
    bool losesAnswers { false };
    /// The platform answers that it does not accept calls.
    bool rejectsCalls { false };
    /// Calls are held up on their way for this long, and their callers get an error after 1500 ms. 0 for none.
    Milliseconds heldUpFor;
    /// The platform carries calls out this long after it has received them, although their callers have withdrawn them and got an error
    /// after 1500 ms. 0 for none.
    Milliseconds carriedOutAfter;
    /// The platform carries calls out once more this long after the first time. 0 for none.
    Milliseconds carriedOutAgainAfter;
    /// Time from when a call is carried out until the target is primary.
    Milliseconds promotionTime { 300 };
    /// Called when a target has been promoted.
    std::function<void(const TargetId&)> onPromoted { [](const TargetId&) {} };
    /// Requests are accepted, but no target becomes primary.
    bool hasNoEffect { false };
    /// Called when a request is sent, which may be long before the platform receives it.
    std::function<void(const PromotionRequest&)> onSent { [](const PromotionRequest&) {} };
    /// Promotions are answered before they take effect.
    bool answersAtOnce { false };
    /// In the order in which the platform received them.
    std::vector<PromotionRequest> requests;
    /// The term of the last promotion, and when it took effect.
    Term newestTerm { 1 };
    Instant newestTermSince;

private:
    void receive(const PromotionRequest&, Done);
    void carryOut(const TargetId&, Done);

    EventLoop& m_loop;
    SimulatedTargets& m_targets;
};

/// One daemon's way to the targets, some of which are on the other side of a network partition.
class PartitionedTargets final : public TargetConnector {
public:
    PartitionedTargets(EventLoop& loop, SimulatedTargets& targets, std::function<bool(const TargetId&)> isReached)
        : m_loop(loop)
        , m_targets(targets)
        , m_isReached(std::move(isReached))
    {
    }

    void connect(const TargetConfiguration&, const OrganisationId&, Milliseconds timeout, Done) override;

private:
    EventLoop& m_loop;
    SimulatedTargets& m_targets;
    std::function<bool(const TargetId&)> m_isReached;
};

/// One daemon of the fixture, with the components that take part in a failover.
class FailoverDaemon {
public:
    FailoverDaemon(EventLoop&, FakeTables&, PromotionPort&, TargetConnector&, const std::string& name, const std::string& incarnation, const FailureDomainId&);

    FailureDomainId failureDomain;
    Instant startedAt;
    FakeRows rows;
    /// The version as of which the daemon knows the target list; the tables' newest version while unset.
    std::optional<RowVersion> targetListVersion;
    std::vector<std::string> logLines;
    DecisionLog log;
    Metrics metrics { MetricsLimits {} };
    Membership membership;
    InstanceLease lease;
    LeaseMonitor leaseMonitor;
    FailoverManager failover;
    Relay relay;
    TableWatch controlWatch;
};

/// Several daemons and one group of three targets, with "one" as the first primary, in virtual time. The daemons stand in the failure domains of
/// the targets in turn, beginning with that of "one".
class FailoverFixture {
public:
    /// The daemons receive the target list `listDelay` milliseconds after their start.
    explicit FailoverFixture(size_t daemons, double listDelay = 0);
    ~FailoverFixture();

    void run(double milliseconds);
    /// Crashes a daemon and starts another process in its place after `pause` milliseconds. The new process receives the target
    /// list `listDelay` milliseconds after its start.
    void restart(size_t daemon, double pause, double listDelay = 0);
    /// The platform is away for `outage` milliseconds, in which its tables return to a copy.
    void restorePlatform(const FakeTables::Copy&, double outage);
    void setLeaving(const std::string& target);
    /// Adds a target to the platform's target list, or removes it.
    void setListed(const std::string& target, bool isListed);
    /// Sends a write to a daemon and returns its error: None if the write was acknowledged, TimedOut without an answer in 3 s.
    RelayError write(size_t daemon);
    /// Sends a write to every daemon, so that each of them uses the primary.
    void writeFromAllDaemons();
    /// Lets the time pass while every daemon sends writes.
    void runWithTraffic(double milliseconds);
    /// Number of daemons that know the target as the primary and whose record of it is open.
    size_t countDaemonsUsing(const std::string& target);
    /// Number of suspicions that the running daemons have recorded, according to their logs.
    size_t suspicionsWritten() const;

    VirtualLoop loop;
    FakeTables tables { loop };
    SimulatedTargets targets { loop };
    FakePromotions promotions { loop, targets };
    std::vector<std::unique_ptr<FailoverDaemon>> daemons;
    /// Daemons that have crashed. They are kept because pending callbacks still refer to them.
    std::vector<std::unique_ptr<FailoverDaemon>> stoppedDaemons;
    /// Number of writes acknowledged by a target whose term is lower than the newest term at the time when they were sent.
    uint32_t staleWrites { 0 };
    /// Number of promotions that took effect while a daemon could use another primary.
    uint32_t conflictingPromotions { 0 };
    /// Replaced primaries become replicas a second after the promotion.
    bool doReplacedPrimariesStepDown { false };

    /// Puts a configuration in force with which commits are acknowledged once so many replicas have received them.
    void setSynchronousReplicas(uint32_t);
    /// Ends a target, and lists another one in its place, at its address and with its log.
    void replaceTarget(const std::string& target, const std::string& successor);
    /// Starts a target again that has lost its log.
    void restartWithoutLog(const std::string&);
    /// Cuts off the failure domain of a target from the platform and from the other ones.
    void cutOffDomainOf(const std::string& target);
    /// Ends the partition. The targets that were started meanwhile list themselves after `listingTime` milliseconds.
    void reconnectDomain(double listingTime = 1500);
    bool isDomainCutOff() const { return m_cutOffDomain.has_value(); }
    /// Whether the daemon is in the failure domain that is cut off.
    bool isCutOff(size_t daemon) const { return m_cutOffDomain == daemons[daemon]->failureDomain; }
    /// Starts a target without a log in the failure domain of another one. It lists itself if it reaches the platform.
    void startTarget(const std::string& name, const std::string& neighbour);
    /// Replicas that receive nothing of the log.
    std::set<TargetId> deafTargets;
    /// Number of acknowledged commits that were missing from the log of a target when it was promoted.
    uint64_t lostCommits { 0 };

private:
    void startDaemon(size_t daemon, double listDelay = 0);
    TargetEntry makeEntry(const std::string& target) const;
    void publishTargets();
    void publishTargets(FailoverDaemon&);
    bool mayUseOtherPrimary(FailoverDaemon&, const TargetId& promoted) const;
    void stepDownReplacedPrimaries();
    void replicate();
    bool mayReceive(const TargetId&, const TargetId& primary);
    FailureDomainId domainOf(const TargetId&) const;
    /// Whether both are on the same side of the partition.
    bool areConnected(const FailureDomainId&, const FailureDomainId&) const;
    /// Gives the commit to replicas, and returns whether it is acknowledged.
    bool replicateCommit(const TargetId& primary);
    void countLostCommits(const TargetId& promoted);

    std::vector<std::string> m_targetNames { "one", "two", "three" };
    /// Of targets that were started in place of others.
    std::map<std::string, TargetAddress> m_addresses;
    /// Of targets that were started after the others.
    std::map<std::string, Instant> m_startedAt;
    /// Of targets that were started after the others, in the failure domain of one of them.
    std::map<std::string, FailureDomainId> m_domains;
    std::optional<FailureDomainId> m_cutOffDomain;
    /// Targets that have been started and cannot list themselves.
    std::vector<std::string> m_unlistedTargets;
    /// Each daemon's way to the targets, also of those that have crashed.
    std::vector<std::unique_ptr<PartitionedTargets>> m_connectors;
    std::vector<TargetEntry> m_targetList;
    uint32_t m_incarnations { 0 };
    uint32_t m_synchronousReplicas { 0 };
    uint64_t m_configurations { 1 };
    /// The last commit that a caller was told of and that no promotion has lost.
    LogPosition m_lastAcknowledged;
};

}
