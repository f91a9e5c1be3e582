#pragma once

#include "membership/Membership.h"
#include "relay/AcknowledgedWrites.h"
#include "relay/HomeDelays.h"
#include "relay/PrimaryLease.h"
#include "relay/PrimaryLogHistory.h"
#include "relay/RelayJob.h"
#include "relay/RelayTarget.h"
#include "scheduling/RetryBudget.h"
#include "scheduling/StatementTimes.h"
#include "telemetry/DecisionLog.h"
#include "telemetry/Metrics.h"

#include <map>
#include <memory>
#include <set>

namespace parsleypaddle {

class PrimaryUse;

/// A daemon's view of a group's primary, which may be out of date.
struct PrimaryView {
    TargetId primary;
    Term term;
    /// False while the primary is unknown or being replaced. This daemon starts no statement outside a transaction and no
    /// transaction at the primary unless this is true and the lease is valid.
    bool isAvailable { false };
};

/// Receives reports on whether a group's primary answers.
class PrimaryObserver {
public:
    virtual ~PrimaryObserver() = default;

    virtual void primaryAnswered(const GroupId&) = 0;
    /// Called when the primary is unreachable or silent, or answers that it is not the primary.
    virtual void primaryFailed(const GroupId&) = 0;
};

/// Where to send a statement: a target or another daemon.
struct StatementDestination {
    /// The target, or the peer daemon if `peer` is set.
    std::shared_ptr<RelayTarget> target;
    /// Log mark that the target must have applied before it runs a read or opens a transaction; unset if none is required, as
    /// at the primary. A peer daemon requires it of the replica that it chooses.
    std::optional<LogMark> requiredMark;
    bool isPrimary { false };
    /// The daemon to forward the statement to; empty when this daemon sends it to the target itself.
    InstanceId peer;
};

/// Runs the statements of one daemon's callers on one database group: chooses a destination for each, limits connections and
/// retries, and keeps track of the statements at the primary.
/// If the targets do not accept enough connections for every daemon, only a few daemons, the homes of the group, connect to
/// them. The other daemons forward their statements to a home.
class RelayGroup {
public:
    RelayGroup(EventLoop&, TargetConnector&, const PrimaryLease&, PrimaryObserver&, DecisionLog&, Metrics&, Membership&, GroupId);

    /// Replaces the group's targets by those of the platform's list.
    void setTargets(std::vector<TargetEntry>);
    /// `limit`: connections that one target accepts from all daemons, part of which stays in reserve. `share`: this daemon's
    /// part of the rest, between 0 and 1; ignored if only the homes connect to the targets, which divide the rest equally.
    void setConnectionLimit(uint32_t limit, double share);
    /// Sets for how long a primary may be used after it was listed as leaving, if that is longer than by default.
    void setLeavingPrimaryUse(Milliseconds);
    /// Sets since when the primary leaves, for the case that the list with which this daemon began does not tell; unset if that is not known.
    void setPrimaryLeavingSince(std::optional<Instant> since) { m_primaryLeavingSince = since; }
    Milliseconds leavingPrimaryUse() const { return m_leavingPrimaryUse; }
    /// If `isAvailable` is false, this daemon starts no further statement or transaction at the primary. Those already started
    /// continue until they end or abandonPrimary() is called.
    void setPrimary(const PrimaryView&);
    const PrimaryView& primary() const { return m_primary; }

    /// Runs a statement outside a transaction, or the first statement of a transaction.
    void run(RelayJob);

    /// Number of unfinished statements and transactions at the primary, including statements that wait for a connection to it.
    size_t primaryUses() const { return m_primaryUses.size(); }
    /// Start of the longest current wait for a connection to the primary or for its answer; unset when nothing waits.
    std::optional<Instant> oldestPrimaryWait() const;
    /// Stops all statements and transactions at the primary without waiting for answers. Reads that a replica may run are
    /// retried within the usual limits unless they belong to an open transaction; other running statements end with an error.
    /// Transactions without a running statement are rolled back; their next statement other than ROLLBACK gets Aborted.
    void abandonPrimary();

    // Used by statements and transactions of this group.

    EventLoop& loop() { return m_loop; }
    PrimaryObserver& observer() { return m_observer; }
    DecisionLog& log() { return m_log; }
    Metrics& metrics() { return m_metrics; }
    /// Statements are served late only if homes run them: where every daemon connects to every target, a caller's retry at another
    /// daemon finds the same targets.
    LateStatements lateStatements() const { return m_isFullMesh ? LateStatements::Refuse : LateStatements::Serve; }
    bool isLeaseValid() const { return m_lease.isValid(); }
    const GroupId& id() const { return m_id; }
    RetryBudget& retryBudget() { return m_retryBudget; }
    PrimaryLogHistory& logHistory() { return m_logHistory; }
    HomeDelays& homeDelays() { return m_homeDelays; }
    /// How a write is sent now on this connection to the primary.
    SentWrite sentNow(const RelaySlot& slot) const { return { m_loop.now(), m_lease.state(), slot.connectionNumber() }; }
    AcknowledgedWrites& acknowledgedWrites() { return m_acknowledgedWrites; }
    bool mayUsePrimary() const { return m_primary.isAvailable && m_lease.isValid(); }
    /// Whether an answer from the primary of `term` may still be used: the lease is valid and the term has not changed.
    bool mayAcceptAnswer(Term term) const { return m_primary.term == term && m_lease.isValid(); }
    std::shared_ptr<RelayTarget> primaryTarget();
    /// The best destination for the statement that is not in `tried`; nullopt when there is none.
    std::optional<StatementDestination> chooseDestination(const RelayJob&, const std::set<TargetId>& tried);
    /// Delay after which a caller should retry a refused statement; `target`: the last one tried, null if none was.
    Milliseconds retryAfter(const RelayTarget* target) const;
    /// Reports to the membership whether the peer daemon answered.
    void reportPeer(const InstanceId&, bool hasAnswered);
    /// Log mark that a replica must have applied to run the read; nullopt when no replica may run it, because the route reads
    /// only at the primary or no recent enough mark is known.
    std::optional<LogMark> requiredMark(const RelayJob&) const;
    void addPrimaryUse(PrimaryUse&);
    void removePrimaryUse(PrimaryUse&);

private:
    /// The targets' queues and connections, created at the first call.
    const std::map<TargetId, std::shared_ptr<RelayTarget>>& targets();
    void updateTargets();
    /// Sets the target's limits of connections and statements.
    void applyLimits(RelayTarget&);
    /// Logs which writes the primary has acknowledged, if this daemon stops using it by the change to the new view.
    void logAcknowledgedWrites(const PrimaryView&);
    void reportPace(const TargetId&, const PaceChange&);
    /// Statements that this daemon sends to the target at the same time.
    uint32_t statementLimit(const TargetEntry&) const;
    std::optional<StatementDestination> primaryDestination(const RelayJob&, const std::set<TargetId>& tried);
    std::optional<StatementDestination> readDestination(const RelayJob&, const std::set<TargetId>& tried);
    /// Another daemon to which a statement for `target` can be forwarded.
    std::optional<StatementDestination> peerDestination(const RelayJob&, const TargetConfiguration& target, const std::set<TargetId>& tried);
    /// The best home of the group, for a daemon that does not connect to the group's targets itself.
    std::optional<StatementDestination> homeDestination(const RelayJob&, const std::set<TargetId>& tried);
    struct CostedHome {
        StatementDestination destination;
        Milliseconds cost;
    };
    /// Of the homes that cost about as little as `best` in the same failure domain, the one that serves the organisation.
    static StatementDestination preferredHome(const OrganisationId&, const std::vector<CostedHome>&, const CostedHome& best);
    std::optional<StatementDestination> destinationAt(const InstanceId& peer, const RelayJob&, const std::set<TargetId>& tried);
    std::shared_ptr<RelayTarget> peerTarget(const DatabaseId&, const InstanceEntry&);
    bool isHome() const;
    Milliseconds costOf(RelayTarget&, bool isPrimary) const;
    Milliseconds costOfHome(const RelayJob&, const StatementDestination&) const;

    EventLoop& m_loop;
    TargetConnector& m_connector;
    const PrimaryLease& m_lease;
    PrimaryObserver& m_observer;
    DecisionLog& m_log;
    Metrics& m_metrics;
    GroupId m_id;
    Membership& m_membership;
    /// Hash of this daemon's id, which selects the home at which its search for a destination starts.
    size_t m_homeOffset;
    Milliseconds m_leavingPrimaryUse;
    std::optional<Instant> m_primaryLeavingSince;
    /// Maximum number of this daemon's connections to each target.
    uint32_t m_connectionLimit { 1 };
    /// Whether the targets accept enough connections for every daemon to connect to each of them. Otherwise a few daemons,
    /// the homes of the group, connect to all of its targets and run the statements of the others. A home needs the primary
    /// too, because only the primary's answers show which log mark a replica must have applied.
    bool m_isFullMesh { true };
    PrimaryView m_primary;
    std::vector<TargetEntry> m_entries;
    /// By target; kept up to date once targets() was called.
    std::map<TargetId, std::shared_ptr<RelayTarget>> m_targets;
    bool m_areTargetsUsed { false };
    /// Other daemons to which statements are forwarded, by database and instance.
    std::map<std::pair<DatabaseId, InstanceId>, std::shared_ptr<RelayTarget>> m_peers;
    HomeDelays m_homeDelays;
    PrimaryLogHistory m_logHistory;
    AcknowledgedWrites m_acknowledgedWrites;
    RetryBudget m_retryBudget;
    std::set<PrimaryUse*> m_primaryUses;
};

/// A statement or transaction that uses the primary. It is registered with its group for the lifetime of this object.
class PrimaryUse {
public:
    explicit PrimaryUse(RelayGroup& group)
        : m_group(group)
        , m_term(group.primary().term)
    {
        m_group.addPrimaryUse(*this);
    }
    virtual ~PrimaryUse() { m_group.removePrimaryUse(*this); }

    PrimaryUse(const PrimaryUse&) = delete;
    PrimaryUse& operator=(const PrimaryUse&) = delete;

    /// Ends the statement or transaction without waiting for the primary's answer.
    virtual void abandon() = 0;

    Term term() const { return m_term; }

    /// When the current wait for a connection or an answer began; unset while nothing is awaited.
    std::optional<Instant> waitingSince() const { return m_waitingSince; }
    void setWaitingSince(std::optional<Instant> since) { m_waitingSince = since; }

private:
    RelayGroup& m_group;
    Term m_term;
    std::optional<Instant> m_waitingSince;
};

}
