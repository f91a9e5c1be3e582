#pragma once

#include "connections/ConnectionPool.h"
#include "directory/TargetEntry.h"
#include "routing/TargetExperience.h"
#include "scheduling/WorkQueue.h"

#include <functional>
#include <map>
#include <memory>

namespace parsleypaddle {

class RelayTarget;

/// A place at a target: a connection that one caller's statement or transaction holds alone. Ends with its life.
class RelaySlot {
public:
    RelaySlot(std::weak_ptr<RelayTarget>, WorkId, std::unique_ptr<PooledConnection>);
    ~RelaySlot();

    RelaySlot(const RelaySlot&) = delete;
    RelaySlot& operator=(const RelaySlot&) = delete;

    /// Runs the steps in one piece; one answer for each. TargetSilent or ConnectionLost otherwise.
    void run(std::vector<RelayStep>, Milliseconds timeout, std::function<void(absl::StatusOr<std::vector<RelayAnswer>>)>);

    TargetImage& image() { return m_connection->image(); }
    void discard() { m_connection->discard(); }
    const TargetId& target() const { return m_targetId; }

    /// Gives up the open transaction: rolls it back, then frees the place.
    static void rollBack(std::shared_ptr<RelaySlot>);

private:
    std::weak_ptr<RelayTarget> m_target;
    TargetId m_targetId;
    WorkId m_work;
    std::unique_ptr<PooledConnection> m_connection;
};

/// One daemon's use of one target for its callers: the queue before its connections, and what it has learned of it.
class RelayTarget : public std::enable_shared_from_this<RelayTarget> {
public:
    using Acquired = std::function<void(absl::StatusOr<std::shared_ptr<RelaySlot>>)>;

    RelayTarget(EventLoop&, TargetConnector&, TargetEntry, uint64_t seed);

    const TargetEntry& entry() const { return m_entry; }
    void setEntry(const TargetEntry& entry) { m_entry = entry; }
    /// Connections that this daemon may hold.
    void setConnections(uint32_t);

    /// Waits for a place. Overloaded when it would come too late, TargetUnreachable when there is no connection.
    void acquire(Work, Acquired);

    /// Expected time until new work would end here.
    Milliseconds expectedDelay(Milliseconds fallback) const;

    TargetExperience& experience() { return m_experience; }
    const ConnectionPool& pool() const { return *m_pool; }
    size_t waiting() const { return m_queue->waiting(); }
    size_t running() const { return m_queue->running(); }

private:
    friend class RelaySlot;

    void finish(WorkId);
    void pump();
    void shedOverdue();
    void schedulePump();
    void connect(const Work&, Acquired);

    EventLoop& m_loop;
    TargetEntry m_entry;
    uint32_t m_connections { 1 };
    std::unique_ptr<ConnectionPool> m_pool;
    std::unique_ptr<WorkQueue> m_queue;
    TargetExperience m_experience;
    std::map<WorkId, std::pair<Work, Acquired>> m_waiting;
    uint64_t m_lastWork { 0 };
    TimerId m_pumpTimer { TimerId::None };
};

}
