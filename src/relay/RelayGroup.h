#pragma once

#include "membership/Membership.h"
#include "relay/FreshMarks.h"
#include "relay/PrimaryLease.h"
#include "relay/RelayJob.h"
#include "relay/RelayTarget.h"
#include "scheduling/RetryBudget.h"
#include "telemetry/DecisionLog.h"
#include "telemetry/Metrics.h"

#include <map>
#include <memory>
#include <set>

namespace parsleypaddle {

class PrimaryUse;

/// What a daemon believes about a group's primary.
struct PrimaryBelief {
    TargetId primary;
    Term term;
    /// Whether the primary may be used; false while it is being replaced.
    bool isOpen { false };
};

/// What the use of a group tells about its primary.
class PrimaryObserver {
public:
    virtual ~PrimaryObserver() = default;

    /// The primary answered.
    virtual void primaryAnswered(const GroupId&) = 0;
    /// The primary cannot be reached, or does not see itself as primary.
    virtual void primaryFailed(const GroupId&) = 0;
};

/// A place where a statement may run, and the log that a read needs there.
struct StatementPlace {
    std::shared_ptr<RelayTarget> target;
    /// Empty at the primary, which lacks nothing.
    std::optional<LogMark> after;
    bool isPrimary { false };
    /// Set when another daemon runs it.
    InstanceId peer;
};

/// One daemon's use of one database group for its callers.
class RelayGroup {
public:
    RelayGroup(EventLoop&, TargetConnector&, const PrimaryLease&, PrimaryObserver&, DecisionLog&, Metrics&, Membership&, GroupId);

    /// Takes over what the platform's list says of the group's targets.
    void setTargets(const std::vector<TargetEntry>&);
    /// `limit`: what one target accepts from all daemons; `share`: this daemon's part of it, between 0 and 1.
    void setConnections(uint32_t limit, double share);
    /// A belief that names no open primary stops its use at once; statements under way go on.
    void setPrimary(const PrimaryBelief&);
    const PrimaryBelief& primary() const { return m_primary; }

    /// Runs a single statement, or the first one of a transaction.
    void run(RelayJob);

    /// Statements and transactions at the primary that have not ended.
    size_t primaryUses() const { return m_uses.size(); }
    /// Since when the statement at the primary that has waited longest is unanswered; unset when none is.
    std::optional<Instant> oldestPrimaryWait() const;
    /// Answers everything under way at the primary now; what it may still answer is no longer believed.
    void abandonPrimary();

    // For the statements under way.

    EventLoop& loop() { return m_loop; }
    PrimaryObserver& observer() { return m_observer; }
    DecisionLog& log() { return m_log; }
    Metrics& metrics() { return m_metrics; }
    bool isLeaseValid() const { return m_lease.isValid(); }
    const GroupId& id() const { return m_id; }
    RetryBudget& retries() { return m_retries; }
    FreshMarks& marks() { return m_marks; }
    bool mayUsePrimary() const { return m_primary.isOpen && m_lease.isValid(); }
    /// Whether an answer of a statement that began at the primary of `term` may still be believed.
    bool maySettle(Term term) const { return m_primary.term == term && m_lease.isValid(); }
    std::shared_ptr<RelayTarget> primaryTarget() const;
    /// The best place for a statement that has not been tried; nullopt when there is none.
    std::optional<StatementPlace> placeFor(const RelayJob&, const std::set<TargetId>& tried);
    /// When a refused statement may be worth another try; `target`: where it was refused, null when nowhere.
    Milliseconds comeBackAfter(const RelayTarget* target) const;
    void reportPeer(const InstanceId&, bool isReached);
    /// The log that a read needs at a replica; nullopt when no known mark is fresh enough.
    std::optional<LogMark> neededMark(const RelayJob&) const;
    void enter(PrimaryUse&);
    void leave(PrimaryUse&);

private:
    std::optional<StatementPlace> primaryPlace(const RelayJob&, const std::set<TargetId>& tried);
    std::optional<StatementPlace> readPlace(const RelayJob&, const std::set<TargetId>& tried);
    /// Another daemon that may pass the statement on to `target`.
    std::optional<StatementPlace> peerPlace(const RelayJob&, const TargetConfiguration& target, const std::set<TargetId>& tried);
    /// A home of the group, in a large fleet.
    std::optional<StatementPlace> homePlace(const RelayJob&, const std::set<TargetId>& tried);
    std::optional<StatementPlace> placeAt(const InstanceId& peer, const RelayJob&, const std::set<TargetId>& tried);
    std::shared_ptr<RelayTarget> peerTarget(const DatabaseId&, const InstanceEntry&);
    bool isHome() const;
    Milliseconds costOf(RelayTarget&, bool isPrimary) const;

    EventLoop& m_loop;
    TargetConnector& m_connector;
    const PrimaryLease& m_lease;
    PrimaryObserver& m_observer;
    DecisionLog& m_log;
    Metrics& m_metrics;
    GroupId m_id;
    Membership& m_membership;
    /// Where this daemon begins among a group's homes.
    size_t m_firstHome;
    uint32_t m_connections { 1 };
    /// Whether there are connections for every daemon at every target; else a few homes hold those of the whole group, since
    /// only daemons that use the primary know how fresh a replica has to be.
    bool m_isEveryoneHome { true };
    PrimaryBelief m_primary;
    std::map<TargetId, std::shared_ptr<RelayTarget>> m_targets;
    /// Other daemons as places for statements, by database and instance.
    std::map<std::pair<DatabaseId, InstanceId>, std::shared_ptr<RelayTarget>> m_peers;
    FreshMarks m_marks;
    RetryBudget m_retries;
    std::set<PrimaryUse*> m_uses;
};

/// A statement or transaction under way at a primary, as long as it lives.
class PrimaryUse {
public:
    explicit PrimaryUse(RelayGroup& group)
        : m_group(group)
        , m_term(group.primary().term)
    {
        m_group.enter(*this);
    }
    virtual ~PrimaryUse() { m_group.leave(*this); }

    PrimaryUse(const PrimaryUse&) = delete;
    PrimaryUse& operator=(const PrimaryUse&) = delete;

    /// Ends it without the primary's answer.
    virtual void abandon() = 0;

    Term term() const { return m_term; }

    /// Since when an answer is waited for; unset while nothing was sent.
    std::optional<Instant> waitingSince() const { return m_waitingSince; }
    void setWaiting(std::optional<Instant> since) { m_waitingSince = since; }

private:
    RelayGroup& m_group;
    Term m_term;
    std::optional<Instant> m_waitingSince;
};

}
