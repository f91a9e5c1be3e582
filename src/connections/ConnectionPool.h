#pragma once

#include "base/EventLoop.h"
#include "targets/TargetConnection.h"

namespace parsleypaddle {

class ConnectionPool;

/// A connection that its owner holds exclusively. The destructor returns it to the pool, or closes it if it was
/// discarded, has failed or still runs a batch.
class PooledConnection {
public:
    virtual ~PooledConnection() = default;

    /// Runs one batch; see TargetConnection.
    virtual void run(const TargetBatch&, Milliseconds timeout, TargetConnection::Done) = 0;

    /// The session state that this holder and earlier ones have set up at the target.
    virtual TargetSessionState& sessionState() = 0;

    /// Makes the destructor close the connection instead of returning it. For connections whose state is uncertain.
    virtual void discard() = 0;
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
};

/// The pool of one daemon's connections to one target.
class ConnectionPool {
public:
    using AcquireCallback = std::function<void(absl::StatusOr<std::unique_ptr<PooledConnection>>)>;

    virtual ~ConnectionPool() = default;

    /// Passes an idle or new connection to the callback, which may run before this function returns. Requests are served
    /// in order of arrival. Errors: DeadlinePassed, also when the pool is destroyed; TargetUnreachable; and Overloaded when
    /// the target is full.
    virtual void acquire(Instant deadline, AcquireCallback) = 0;

    /// Changes the limit. Surplus idle connections are closed at once, surplus held ones when they are returned.
    virtual void setLimit(uint32_t) = 0;

    /// Whether the last connection attempt failed, other than because the target was full, and no connection has answered
    /// since. A time-out on an established connection alone does not make the target suspect.
    virtual bool isTargetSuspect() const = 0;

    virtual uint32_t openConnections() const = 0;

    static std::unique_ptr<ConnectionPool> create(EventLoop&, TargetConnector&, const TargetConfiguration&, const ConnectionPoolSettings&);
};

}
