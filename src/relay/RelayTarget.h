#pragma once

#include "connections/ConnectionPool.h"
#include "directory/TargetEntry.h"
#include "relay/TargetPace.h"
#include "routing/TargetHealth.h"
#include "scheduling/WorkQueue.h"

#include <functional>
#include <map>
#include <memory>

namespace parsleypaddle {

class RelayTarget;

/// Exclusive use of one connection to a target or peer daemon by one statement or transaction. The destructor returns the
/// connection to its pool, or closes it after discard().
class RelaySlot {
public:
    RelaySlot(std::weak_ptr<RelayTarget>, WorkId, std::unique_ptr<PooledConnection>);
    ~RelaySlot();

    RelaySlot(const RelaySlot&) = delete;
    RelaySlot& operator=(const RelaySlot&) = delete;

    /// Sends the steps together and calls back with one answer for each. Errors: TargetSilent, ConnectionLost, ConnectionClosed and
    /// AnswersOutOfStep; see TargetConnection.
    void run(std::vector<RelayStep>, Milliseconds timeout, std::function<void(absl::StatusOr<std::vector<RelayAnswer>>)>);

    const TargetSession& session() const { return m_connection->session(); }
    /// Closes the connection when the slot is destroyed, instead of returning it to the pool.
    void discard() { m_connection->discard(); }
    const TargetId& target() const { return m_targetId; }
    /// See PooledConnection::number().
    uint64_t connectionNumber() const { return m_connection->number(); }
    /// Whether the connection leads to a peer daemon.
    bool isAtPeer() const { return m_isAtPeer; }

    /// Keeps the connection for an open transaction and lets other work run meanwhile: a transaction pauses between its statements.
    void holdForTransaction();

    /// Rolls back the open transaction, then releases the slot.
    static void rollBack(std::shared_ptr<RelaySlot>);

private:
    std::weak_ptr<RelayTarget> m_target;
    TargetId m_targetId;
    bool m_isAtPeer { false };
    WorkId m_work;
    bool m_isHeldForTransaction { false };
    std::unique_ptr<PooledConnection> m_connection;
};

/// One daemon's connections to one target or peer daemon, the queue of statements that wait for a connection, and statistics
/// of recent answers.
class RelayTarget : public std::enable_shared_from_this<RelayTarget> {
public:
    using Acquired = std::function<void(absl::StatusOr<std::shared_ptr<RelaySlot>>)>;

    /// `onPoolEvent` receives the events of the connection pool; null if they are not counted.
    RelayTarget(EventLoop&, TargetConnector&, TargetEntry, uint64_t seed, std::function<void(PoolEvent)> onPoolEvent = nullptr);

    const TargetEntry& entry() const { return m_entry; }
    /// Replaces the entry; a target that was started again begins with one statement at a time if its limit adapts.
    void setEntry(const TargetEntry&);
    /// Sets the maximum number of this daemon's connections to the target, and of statements that it starts there at the same time.
    /// Statements of open transactions are not counted.
    void setLimits(uint32_t connections, uint32_t statements);
    /// Lets the number of statements follow the target's answers. `statements` of setLimits() is then this daemon's share of the target
    /// at equal demand, and `connections` the maximum.
    void adaptLimit(uint64_t seed, TargetPace::OnChange);
    /// Ends adaptLimit().
    void fixLimit();
    /// Begins with one statement at a time, if the limit adapts.
    void beginSlowly(PaceReason);

    /// Queues the work until a connection of the organisation is free; an empty name stands for no organisation. Errors: Overloaded when the queue refuses or drops the work or the target
    /// accepts no more connections, DeadlinePassed when the pool has no connection before the deadline, TargetUnreachable when
    /// none can be opened.
    void acquire(WorkItem, const OrganisationId&, Acquired);

    /// Expected time until new work would complete at this target; `fallback`: assumed answer time without recent answers.
    Milliseconds expectedDelay(Milliseconds fallback) const;

    TargetHealth& experience() { return m_experience; }

    /// Records a statement, sent at `sentAt`, that the target has run; `kind`: see WorkItem::statement.
    void recordAnswer(uint64_t kind, Instant sentAt, const std::optional<LogMark>& required);
    /// Records a statement that the target, or the peer daemon, refused.
    void recordRefusal(RelayError, Instant sentAt, const std::optional<LogMark>& required);
    /// Records a statement that failed at the target or ended there without a result.
    void recordError(RelayError, Instant sentAt);
    /// Records a statement that got no answer.
    void recordLost(Instant sentAt);
    /// Records that no connection could be opened.
    void recordUnreachable();
    const ConnectionPool& pool() const { return *m_pool; }
    size_t waiting() const { return m_queue->waitingCount(); }
    size_t running() const { return m_queue->runningCount(); }
    /// Statements that may run at the target at the same time now.
    uint32_t statementLimit() const;

private:
    friend class RelaySlot;

    /// Work in the queue and the organisation in whose name it runs at the target.
    struct WaitingWork {
        WorkItem work;
        OrganisationId organisation;
        Acquired acquired;
    };

    void applyLimits();
    void followPace();
    void connect(WaitingWork);
    static void prove(std::shared_ptr<RelaySlot>, const Acquired&);
    void finish(WorkId);
    void holdForTransaction(WorkId);
    void endTransaction();
    void startQueuedWork();
    void rejectShedWork();
    void scheduleQueueCheck();

    EventLoop& m_loop;
    TargetEntry m_entry;
    uint32_t m_connectionLimit { 1 };
    uint32_t m_statementLimit { 1 };
    /// The number of statements that the queue starts at the same time.
    uint32_t m_appliedLimit { 1 };
    /// Connections that open transactions hold.
    uint32_t m_heldConnections { 0 };
    std::unique_ptr<ConnectionPool> m_pool;
    std::unique_ptr<WorkQueue> m_queue;
    TargetHealth m_experience;
    /// Null while the number of statements is fixed.
    std::unique_ptr<TargetPace> m_pace;
    std::map<WorkId, WaitingWork> m_waiting;
    uint64_t m_lastWork { 0 };
    TimerId m_queueTimer { TimerId::None };
};

}
