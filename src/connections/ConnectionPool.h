#pragma once

#include "base/EventLoop.h"
#include "targets/TargetConnection.h"

namespace parsleypaddle {

class ConnectionPool;

/// A connection that its owner holds exclusively. The destructor returns it to the pool, or closes it if it was
/// discarded, has failed or still runs a batch, or its session is not known.
class PooledConnection {
public:
    virtual ~PooledConnection() = default;

    /// Runs one batch; see TargetConnection.
    virtual void run(const TargetBatch&, Milliseconds timeout, TargetConnection::Done) = 0;

    /// The session that this holder and earlier ones have set up at the target.
    virtual const TargetSession& session() const = 0;

    /// Number of the connection among those that its pool has opened. For logs.
    virtual uint64_t number() const = 0;

    /// Makes the destructor close the connection instead of returning it. For connections whose state is uncertain.
    virtual void discard() = 0;
};

/// Events of a pool that are counted.
enum class PoolEvent : uint8_t {
    /// A request got a connection that had served another request before.
    Reused,
    /// A request got a connection that had served no other request.
    Opened,
    /// An idle connection was closed to make room for one of another organisation, or a returned one for a waiting request of one.
    Evicted,
    /// A request found no idle connection, and none could be opened for it at once.
    Waited,
};

/// Limits and time-outs of a pool.
struct ConnectionPoolSettings {
    /// Maximum number of open connections.
    uint32_t maxConnections { 1 };
    Milliseconds connectTimeout { 1000 };
    /// Idle connections are closed at the earliest this long after their last answer, or after they were opened.
    Milliseconds idleTimeout { 60'000 };
    /// Seed of the random reconnect delays. Different seeds keep daemons from reconnecting at the same time.
    uint64_t seed { 0 };
    /// Receives the events of the pool; null if they are not counted. It must not call the pool.
    std::function<void(PoolEvent)> onEvent {};
};

/// The pool of one daemon's connections to one target. Each connection belongs to the organisation that it was opened for and
/// serves no other; a pool of connections to a peer makes no difference between organisations.
class ConnectionPool {
public:
    using AcquireCallback = std::function<void(absl::StatusOr<std::unique_ptr<PooledConnection>>)>;

    virtual ~ConnectionPool() = default;

    /// Passes an idle or new connection of the organisation (empty: none) to the callback, which may run before this function
    /// returns. If the limit is reached, an idle connection of another organisation is closed for the new one. Requests of one
    /// organisation are served in order of arrival; of several that wait, the one with the fewest connections in use is served
    /// first. Errors: DeadlinePassed, also when the pool is destroyed; TargetUnreachable; and Overloaded when the target is full.
    virtual void acquire(Instant deadline, const OrganisationId&, AcquireCallback) = 0;

    /// Changes the limit. Surplus idle connections are closed at once, surplus held ones when they are returned.
    virtual void setLimit(uint32_t) = 0;

    /// Whether the last connection attempt failed, other than because the target was full, and no connection has answered
    /// since. A time-out on an established connection alone does not make the target suspect.
    virtual bool isTargetSuspect() const = 0;

    virtual uint32_t openConnections() const = 0;

    static std::unique_ptr<ConnectionPool> create(EventLoop&, TargetConnector&, const TargetConfiguration&, const ConnectionPoolSettings&);
};

}
