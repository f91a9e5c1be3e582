#pragma once

#include "base/EventLoop.h"
#include "targets/TargetPort.h"

namespace parsleypaddle {

class ConnectionPool;

/// A connection that one user holds alone. Going out of scope gives it back; a dead one is dropped instead.
class PooledConnection {
public:
    virtual ~PooledConnection() = default;

    /// Runs one batch; see TargetConnection.
    virtual void run(const TargetBatch&, Milliseconds timeout, TargetConnection::Done) = 0;

    /// What earlier holders have set up in its session at the target.
    virtual TargetImage& image() = 0;

    /// Keeps it from being reused, for one whose state is in doubt.
    virtual void discard() = 0;
};

/// Limits of a pool.
struct ConnectionPoolSettings {
    /// Open connections at most.
    uint32_t limit { 1 };
    Milliseconds connectTimeout { 1000 };
    /// An unused connection is closed after this.
    Milliseconds idleLimit { 60'000 };
    /// Spreads the reconnects of different daemons.
    uint64_t seed { 0 };
};

/// The connections of one daemon to one target.
class ConnectionPool {
public:
    using Acquired = std::function<void(absl::StatusOr<std::unique_ptr<PooledConnection>>)>;

    virtual ~ConnectionPool() = default;

    /// Hands out a free or new connection, in order of asking. DeadlinePassed, TargetUnreachable
    /// or, at a target that is full, Overloaded otherwise.
    virtual void acquire(Instant deadline, Acquired) = 0;

    /// Changes the limit; surplus connections are closed as they come back.
    virtual void setLimit(uint32_t) = 0;

    /// Whether new connections fail or go unanswered, which a silent old connection alone does not show.
    virtual bool isTargetSuspect() const = 0;

    virtual uint32_t openConnections() const = 0;

    static std::unique_ptr<ConnectionPool> create(EventLoop&, TargetConnector&, const TargetConfiguration&, const ConnectionPoolSettings&);
};

}
