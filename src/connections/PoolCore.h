#pragma once

#include "base/ResultCode.h"
#include "connections/ConnectionPool.h"
#include "connections/ReconnectBackoff.h"

#include <deque>
#include <memory>

namespace parsleypaddle {

/// The state of a pool, which connections that are out and attempts under way keep alive.
class PoolCore : public std::enable_shared_from_this<PoolCore> {
public:
    /// A connection and when it last answered.
    struct Entry {
        std::unique_ptr<TargetConnection> connection;
        Instant lastHeard;
    };

    PoolCore(EventLoop&, TargetConnector&, const TargetConfiguration&, const ConnectionPoolSettings&);

    void acquire(Instant deadline, ConnectionPool::Acquired);
    void setLimit(uint32_t);
    bool isTargetSuspect() const;
    uint32_t openConnections() const { return m_open; }

    /// Ends all waiting with DeadlinePassed and closes what is idle; connections that are out close as they come back.
    void shutDown();

    /// A connection comes back and may be reused.
    void giveBack(Entry);
    /// A connection was closed by its holder or died.
    void dropped();
    /// A connection answered.
    void heard();
    /// A connection stayed silent on a batch that was sent at `sentAt`.
    void wentSilent(Instant sentAt);

    Instant now() const { return m_loop.now(); }

private:
    struct Waiter {
        uint64_t id;
        Instant deadline;
        ConnectionPool::Acquired acquired;
        TimerId timer;
    };

    void serve();
    void serveWaiters();
    void openAsNeeded();
    void attempt();
    void attemptEnded(absl::StatusOr<std::unique_ptr<TargetConnection>>);
    void failWaiters();
    void expire(uint64_t waiter);
    void closeIdle();
    void scheduleIdleCheck();
    void scheduleRetry();

    EventLoop& m_loop;
    TargetConnector& m_connector;
    TargetConfiguration m_target;
    ConnectionPoolSettings m_settings;
    ReconnectBackoff m_backoff;
    /// Unused connections, the one used last at the back.
    std::deque<Entry> m_idle;
    std::deque<Waiter> m_waiters;
    uint64_t m_lastWaiter { 0 };
    uint32_t m_open { 0 };
    uint32_t m_attempts { 0 };
    /// Why the last connection could not be opened.
    ResultCode m_lastFailure { ResultCode::TargetUnreachable };
    bool m_isSuspect { false };
    bool m_isServing { false };
    bool m_isShutDown { false };
    TimerId m_idleTimer { TimerId::None };
    TimerId m_retryTimer { TimerId::None };
};

}
