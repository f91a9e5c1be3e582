#include "connections/PoolCore.h"

#include "base/ResultCode.h"
#include "connections/HeldConnection.h"

#include <algorithm>
#include <utility>

namespace parsleypaddle {

namespace {

    /// How long an organisation may keep a new connection while another one with as many connections in use waits for it. Opening a
    /// connection occupies a slot of the target for 12 ms.
    constexpr Milliseconds minOwnership { 50 };

}

PoolCore::PoolCore(EventLoop& loop, TargetConnector& connector, const TargetConfiguration& target, const ConnectionPoolSettings& settings)
    : m_loop(loop)
    , m_connector(connector)
    , m_target(target)
    , m_settings(settings)
    , m_backoff(settings.seed)
{
}

// A failed attempt does not show that the target is unreachable while a connection, of whichever organisation, still answers.
void PoolCore::acquire(Instant deadline, const OrganisationId& requester, ConnectionPool::AcquireCallback acquired)
{
    const OrganisationId organisation = m_target.isPeer ? OrganisationId() : requester;
    if (m_isShutDown || now() >= deadline) {
        acquired(makeError(ResultCode::DeadlinePassed, "the deadline passed, or the connection pool was shut down, before a connection was requested; target: " + m_target.id.value()));
        return;
    }
    const bool mayBeServed = m_shares.inUse() > 0 || hasIdle(organisation) || (m_openCount > 0 && !m_isSuspect);
    if (!mayBeServed && m_backoff.isFailing() && !m_backoff.mayAttempt(now(), 0)) {
        acquired(makeError(m_lastFailure, m_target.id.value() + ": the last connection attempt failed; the next one is delayed by the reconnect backoff"));
        return;
    }
    const uint64_t id = ++m_lastWaiter;
    const TimerId timer = m_loop.after(deadline - now(), [core = weak_from_this(), id] {
        if (auto locked = core.lock())
            locked->expireWaiter(id);
    });
    m_waiters.push_back({ id, organisation, now(), std::move(acquired), timer });
    m_shares.addWaiter(organisation);
    const bool isNested = m_isDispatching;
    dispatch();
    if (!isNested && !m_waiters.empty() && m_waiters.back().id == id && m_shares.needsAttempt(organisation))
        report(PoolEvent::Waited);
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
        m_shares.removeWaiter(it.organisation);
    }
    for (auto& it : waiters)
        it.acquired(makeError(ResultCode::DeadlinePassed, "the connection pool was shut down while the request waited"));
}

void PoolCore::returnConnection(Entry entry)
{
    m_shares.recordReleased(entry.organisation);
    const bool isOwed = !m_isShutDown && isOwedToAnother(entry);
    if (isOwed)
        report(PoolEvent::Evicted);
    if (m_isShutDown || isOwed || m_openCount > m_settings.maxConnections) {
        entry.connection.reset();
        --m_openCount;
        dispatch();
        return;
    }
    addIdle(std::move(entry));
}

void PoolCore::connectionClosed(const OrganisationId& organisation)
{
    --m_openCount;
    m_shares.recordReleased(organisation);
    dispatch();
}

void PoolCore::addIdle(Entry entry)
{
    m_idle.push_back(std::move(entry));
    dispatch();
    if (!m_isShutDown)
        scheduleIdleCheck();
}

void PoolCore::evictIdle()
{
    m_idle.pop_front();
    --m_openCount;
    report(PoolEvent::Evicted);
}

bool PoolCore::hasIdle(const OrganisationId& organisation) const
{
    return std::any_of(m_idle.begin(), m_idle.end(), [&](const Entry& it) { return it.organisation == organisation; });
}

// The organisation keeps the connection while it uses fewer than the other one. With equal numbers it keeps it for a while, because a
// new connection costs time.
bool PoolCore::isOwedToAnother(const Entry& returned) const
{
    const bool isRoom = m_openCount + m_shares.attempts() < m_settings.maxConnections || !m_idle.empty();
    if (isRoom || !m_backoff.mayAttempt(now(), m_shares.attempts()))
        return false;
    const auto next = m_shares.next();
    if (!next || *next == returned.organisation)
        return false;
    if (!m_shares.isWaiting(returned.organisation))
        return true;
    const int64_t difference = m_shares.compareUse(*next, returned.organisation);
    return difference < 0 || (difference == 0 && now() - returned.openedAt >= minOwnership);
}

void PoolCore::report(PoolEvent event) const
{
    if (m_settings.onEvent)
        m_settings.onEvent(event);
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
    while (assignIdleConnection()) { }
    m_isDispatching = false;
    openForWaiters();
}

bool PoolCore::assignIdleConnection()
{
    if (m_idle.empty())
        return false;
    for (auto waiter = m_waiters.begin(); waiter != m_waiters.end(); ++waiter) {
        const auto last = std::find_if(m_idle.rbegin(), m_idle.rend(), [&](const Entry& it) { return it.organisation == waiter->organisation; });
        if (last == m_idle.rend())
            continue;
        const auto idle = std::prev(last.base());
        Entry entry = std::move(*idle);
        m_idle.erase(idle);
        // The target may have closed the connection while it was idle. A batch sent on it would have an unknown outcome,
        // although it cannot have run.
        if (!entry.connection->isOpen()) {
            --m_openCount;
            return true;
        }
        Waiter served = std::move(*waiter);
        m_waiters.erase(waiter);
        assign(std::move(entry), std::move(served));
        return true;
    }
    return false;
}

void PoolCore::assign(Entry entry, Waiter waiter)
{
    m_loop.cancel(waiter.timer);
    m_shares.recordAcquired(waiter.organisation);
    report(std::exchange(entry.wasUsed, true) ? PoolEvent::Reused : PoolEvent::Opened);
    waiter.acquired(std::make_unique<HeldConnection>(shared_from_this(), std::move(entry)));
}

// Idle connections that are left belong to organisations without waiting requests.
void PoolCore::openForWaiters()
{
    while (!m_isShutDown && m_shares.inUse() < m_settings.maxConnections) {
        const auto organisation = m_shares.next();
        if (!organisation)
            return;
        if (!m_backoff.mayAttempt(now(), m_shares.attempts())) {
            scheduleRetry();
            return;
        }
        while (m_openCount + m_shares.attempts() >= m_settings.maxConnections)
            evictIdle();
        startAttempt(*organisation);
    }
}

void PoolCore::startAttempt(const OrganisationId& organisation)
{
    m_shares.addAttempt(organisation);
    m_connector.connect(m_target, organisation, m_settings.connectTimeout, [core = weak_from_this(), organisation](auto connection) {
        if (auto locked = core.lock())
            locked->finishAttempt(organisation, std::move(connection));
    });
}

void PoolCore::finishAttempt(const OrganisationId& organisation, absl::StatusOr<std::unique_ptr<TargetConnection>> connection)
{
    m_shares.removeAttempt(organisation);
    if (m_isShutDown)
        return;
    if (connection.ok()) {
        m_backoff.recordSuccess();
        markReachable();
        if (m_openCount >= m_settings.maxConnections)
            return dispatch();
        ++m_openCount;
        addIdle({ *std::move(connection), now(), organisation, now(), ++m_lastNumber });
        return;
    }
    m_backoff.recordFailure(now());
    // A target that rejects a connection because it is full is reachable.
    const bool isFull = resultCodeOf(connection.status()) == ResultCode::Overloaded;
    m_lastFailure = isFull ? ResultCode::Overloaded : ResultCode::TargetUnreachable;
    m_isSuspect = !isFull;
    // While a connection is in use, waiting requests can still get it or its place when it is returned: a full target rejects new
    // connections but serves the open ones. It accepts one in place of an idle one that is closed.
    if (isFull && !m_idle.empty() && !m_waiters.empty())
        evictIdle();
    else if (m_shares.inUse() == 0)
        failWaiters();
    dispatch();
}

void PoolCore::failWaiters()
{
    std::deque<Waiter> waiters;
    waiters.swap(m_waiters);
    for (auto& it : waiters) {
        m_loop.cancel(it.timer);
        m_shares.removeWaiter(it.organisation);
    }
    for (auto& it : waiters)
        it.acquired(makeError(m_lastFailure, "no connection to " + m_target.id.value() + " could be opened"));
}

void PoolCore::expireWaiter(uint64_t waiter)
{
    auto it = std::find_if(m_waiters.begin(), m_waiters.end(), [waiter](const Waiter& each) { return each.id == waiter; });
    if (it == m_waiters.end())
        return;
    auto acquired = std::move(it->acquired);
    m_shares.removeWaiter(it->organisation);
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
    if (m_retryTimer != TimerId::None || m_shares.attempts() > 0)
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
