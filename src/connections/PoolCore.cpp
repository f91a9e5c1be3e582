#include "connections/PoolCore.h"

#include "base/ResultCode.h"
#include "connections/HeldConnection.h"

#include <algorithm>

namespace parsleypaddle {

PoolCore::PoolCore(EventLoop& loop, TargetConnector& connector, const TargetConfiguration& target, const ConnectionPoolSettings& settings)
    : m_loop(loop)
    , m_connector(connector)
    , m_target(target)
    , m_settings(settings)
    , m_backoff(settings.seed)
{
}

void PoolCore::acquire(Instant deadline, ConnectionPool::AcquireCallback acquired)
{
    if (m_isShutDown || now() >= deadline) {
        acquired(makeError(ResultCode::DeadlinePassed, "the deadline passed, or the connection pool was shut down, before a connection was requested; target: " + m_target.id.value()));
        return;
    }
    const bool isBackingOff = m_openCount == 0 && m_pendingAttempts == 0 && m_backoff.isFailing() && !m_backoff.mayAttempt(now(), 0);
    if (isBackingOff) {
        acquired(makeError(m_lastFailure, m_target.id.value() + ": the last connection attempt failed; the next one is delayed by the reconnect backoff"));
        return;
    }
    const uint64_t id = ++m_lastWaiter;
    const TimerId timer = m_loop.after(deadline - now(), [core = weak_from_this(), id] {
        if (auto locked = core.lock())
            locked->expireWaiter(id);
    });
    m_waiters.push_back({ id, deadline, std::move(acquired), timer });
    dispatch();
}

void PoolCore::setLimit(uint32_t limit)
{
    m_settings.maxConnections = limit;
    while (m_openCount > m_settings.maxConnections && !m_idle.empty()) {
        m_idle.pop_front();
        --m_openCount;
    }
    dispatch();
}

bool PoolCore::isTargetSuspect() const
{
    return m_isSuspect;
}

void PoolCore::shutDown()
{
    m_isShutDown = true;
    m_loop.cancel(m_idleTimer);
    m_loop.cancel(m_retryTimer);
    m_openCount -= static_cast<uint32_t>(m_idle.size());
    m_idle.clear();
    std::deque<Waiter> waiters;
    waiters.swap(m_waiters);
    for (auto& it : waiters) {
        m_loop.cancel(it.timer);
        it.acquired(makeError(ResultCode::DeadlinePassed, "the connection pool was shut down while the request waited"));
    }
}

void PoolCore::returnConnection(Entry entry)
{
    if (m_isShutDown || m_openCount > m_settings.maxConnections) {
        entry.connection.reset();
        connectionClosed();
        return;
    }
    m_idle.push_back(std::move(entry));
    dispatch();
    if (!m_isShutDown)
        scheduleIdleCheck();
}

void PoolCore::connectionClosed()
{
    --m_openCount;
    dispatch();
}

void PoolCore::markReachable()
{
    m_isSuspect = false;
}

// The fault that left a batch on one connection without an answer probably affects the other open connections too. Idle
// ones are closed unless they have answered since, so that no further request times out on them.
void PoolCore::closeIdleUnansweredSince(Instant sentAt)
{
    auto firstUnanswered = std::stable_partition(m_idle.begin(), m_idle.end(), [sentAt](const Entry& it) { return it.lastAnswerAt > sentAt; });
    m_openCount -= static_cast<uint32_t>(std::distance(firstUnanswered, m_idle.end()));
    m_idle.erase(firstUnanswered, m_idle.end());
}

// A request's callback may call this function again. Nested calls return at once and leave the work to the loop of the
// outermost call, which bounds the stack depth.
void PoolCore::dispatch()
{
    if (m_isDispatching || m_isShutDown)
        return;
    auto self = shared_from_this();
    m_isDispatching = true;
    assignIdleConnections();
    m_isDispatching = false;
    openForWaiters();
}

void PoolCore::assignIdleConnections()
{
    while (!m_waiters.empty() && !m_idle.empty()) {
        Entry entry = std::move(m_idle.back());
        m_idle.pop_back();
        // The target may have closed the connection while it was idle. A batch sent on it would have an unknown outcome,
        // although it cannot have run.
        if (!entry.connection->isOpen()) {
            --m_openCount;
            continue;
        }
        Waiter waiter = std::move(m_waiters.front());
        m_waiters.pop_front();
        m_loop.cancel(waiter.timer);
        waiter.acquired(std::make_unique<HeldConnection>(shared_from_this(), std::move(entry)));
    }
}

void PoolCore::openForWaiters()
{
    if (m_isShutDown)
        return;
    while (m_pendingAttempts < m_waiters.size() && m_openCount + m_pendingAttempts < m_settings.maxConnections) {
        if (!m_backoff.mayAttempt(now(), m_pendingAttempts)) {
            scheduleRetry();
            return;
        }
        startAttempt();
    }
}

void PoolCore::startAttempt()
{
    ++m_pendingAttempts;
    m_connector.connect(m_target, m_settings.connectTimeout, [core = weak_from_this()](auto connection) {
        if (auto locked = core.lock())
            locked->finishAttempt(std::move(connection));
    });
}

void PoolCore::finishAttempt(absl::StatusOr<std::unique_ptr<TargetConnection>> connection)
{
    --m_pendingAttempts;
    if (m_isShutDown)
        return;
    if (connection.ok()) {
        ++m_openCount;
        m_backoff.recordSuccess();
        markReachable();
        returnConnection({ *std::move(connection), now() });
        return;
    }
    m_backoff.recordFailure(now());
    // A target that rejects a connection because it is full is reachable.
    const bool isFull = resultCodeOf(connection.status()) == ResultCode::Overloaded;
    m_lastFailure = isFull ? ResultCode::Overloaded : ResultCode::TargetUnreachable;
    m_isSuspect = !isFull;
    // While a connection is open, waiting requests can still get it when it is returned: a full target rejects new
    // connections but serves the open ones.
    if (m_openCount == 0 && m_pendingAttempts == 0)
        failWaiters();
    dispatch();
}

void PoolCore::failWaiters()
{
    std::deque<Waiter> waiters;
    waiters.swap(m_waiters);
    for (auto& it : waiters) {
        m_loop.cancel(it.timer);
        it.acquired(makeError(m_lastFailure, "no connection to " + m_target.id.value() + " could be opened"));
    }
}

void PoolCore::expireWaiter(uint64_t waiter)
{
    auto it = std::find_if(m_waiters.begin(), m_waiters.end(), [waiter](const Waiter& each) { return each.id == waiter; });
    if (it == m_waiters.end())
        return;
    auto acquired = std::move(it->acquired);
    m_waiters.erase(it);
    acquired(makeError(ResultCode::DeadlinePassed, "no connection to " + m_target.id.value() + " became available before the deadline"));
}

void PoolCore::closeExpiredIdle()
{
    m_idleTimer = TimerId::None;
    while (!m_idle.empty() && m_idle.front().lastAnswerAt + m_settings.idleTimeout <= now()) {
        m_idle.pop_front();
        --m_openCount;
    }
    scheduleIdleCheck();
}

void PoolCore::scheduleIdleCheck()
{
    if (m_idleTimer != TimerId::None || m_idle.empty())
        return;
    const Milliseconds wait = m_idle.front().lastAnswerAt + m_settings.idleTimeout - now();
    m_idleTimer = m_loop.after(wait, [core = weak_from_this()] {
        if (auto locked = core.lock())
            locked->closeExpiredIdle();
    });
}

void PoolCore::scheduleRetry()
{
    if (m_retryTimer != TimerId::None || m_pendingAttempts > 0)
        return;
    m_retryTimer = m_loop.after(m_backoff.nextAttemptAt() - now(), [core = weak_from_this()] {
        auto locked = core.lock();
        if (!locked)
            return;
        locked->m_retryTimer = TimerId::None;
        locked->dispatch();
    });
}

}
