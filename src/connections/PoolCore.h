#pragma once

#include "base/ResultCode.h"
#include "connections/ConnectionPool.h"
#include "connections/ConnectionShares.h"
#include "connections/ReconnectBackoff.h"

#include <deque>
#include <memory>

namespace parsleypaddle {

/// The implementation of ConnectionPool. The pool and its held connections share ownership, because connections may be
/// returned after the pool is destroyed.
class PoolCore : public std::enable_shared_from_this<PoolCore> {
public:
    /// An open connection, the time when it last answered or was opened, and the organisation that it belongs to.
    struct Entry {
        std::unique_ptr<TargetConnection> connection;
        Instant lastAnswerAt;
        OrganisationId organisation;
        Instant openedAt;
        /// See PooledConnection::number().
        uint64_t number { 0 };
        /// Whether a request has held the connection.
        bool wasUsed { false };
    };

    PoolCore(EventLoop&, TargetConnector&, const TargetConfiguration&, const ConnectionPoolSettings&);

    void acquire(Instant deadline, const OrganisationId&, ConnectionPool::AcquireCallback);
    void setLimit(uint32_t);
    bool isTargetSuspect() const;
    uint32_t openConnections() const { return m_openCount; }

    /// Fails all waiting requests with DeadlinePassed and closes the idle connections. Held connections are closed when they
    /// are returned.
    void shutDown();

    /// Returns a reusable connection. It is closed if the pool is shut down or has too many open connections, or if a waiting
    /// request of another organisation gets its place.
    void returnConnection(Entry);
    /// Updates the counts after a held connection of the organisation was closed, and opens a new one if requests wait for it.
    void connectionClosed(const OrganisationId&);
    /// Marks the target as not suspect, after an answer or a successful connection attempt.
    void markReachable();
    /// Closes the idle connections that have not answered since `sentAt`, the time when a batch was sent that got no answer.
    void closeIdleUnansweredSince(Instant sentAt);

    Instant now() const { return m_loop.now(); }

private:
    /// A request that waits for a connection.
    struct Waiter {
        uint64_t id;
        OrganisationId organisation;
        Instant since;
        ConnectionPool::AcquireCallback acquired;
        TimerId timer;
    };

    void dispatch();
    /// Assigns one idle connection to a waiting request of its organisation; false if there is no such pair.
    bool assignIdleConnection();
    void assign(Entry, Waiter);
    void openForWaiters();
    void startAttempt(const OrganisationId&);
    void finishAttempt(const OrganisationId&, absl::StatusOr<std::unique_ptr<TargetConnection>>);
    void addIdle(Entry);
    void evictIdle();
    bool hasIdle(const OrganisationId&) const;
    /// Whether a connection that the organisation has just returned has to make room for one of another organisation.
    bool isOwedToAnother(const Entry&) const;
    void report(PoolEvent) const;
    void failWaiters();
    void expireWaiter(uint64_t waiter);
    void closeExpiredIdle();
    void scheduleIdleCheck();
    void scheduleRetry();

    EventLoop& m_loop;
    TargetConnector& m_connector;
    TargetConfiguration m_target;
    ConnectionPoolSettings m_settings;
    ReconnectBackoff m_backoff;
    /// Idle connections in order of their return. The last one of an organisation is reused first.
    std::deque<Entry> m_idle;
    std::deque<Waiter> m_waiters;
    ConnectionShares m_shares;
    uint64_t m_lastWaiter { 0 };
    uint64_t m_lastNumber { 0 };
    uint32_t m_openCount { 0 };
    /// Error of the last failed connection attempt: TargetUnreachable or Overloaded.
    ResultCode m_lastFailure { ResultCode::TargetUnreachable };
    bool m_isSuspect { false };
    bool m_isDispatching { false };
    bool m_isShutDown { false };
    TimerId m_idleTimer { TimerId::None };
    TimerId m_retryTimer { TimerId::None };
};

}
