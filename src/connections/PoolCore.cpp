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

void PoolCore::acquire(Instant deadline, ConnectionPool::Acquired acquired)
{
    if (m_isShutDown || now() >= deadline) {
        acquired(makeError(ResultCode::DeadlinePassed, "no time is left for a connection to " + m_target.id.value()));
        return;
    }
    const bool isPaused = m_open == 0 && m_attempts == 0 && m_backoff.isFailing() && !m_backoff.mayAttempt(now(), 0);
    if (isPaused) {
        acquired(makeError(m_lastFailure, m_target.id.value() + " refused its last connections"));
        return;
    }
    const uint64_t id = ++m_lastWaiter;
    const TimerId timer = m_loop.after(deadline - now(), [core = weak_from_this(), id] {
        if (auto locked = core.lock())
            locked->expire(id);
    });
    m_waiters.push_back({ id, deadline, std::move(acquired), timer });
    serve();
}

void PoolCore::setLimit(uint32_t limit)
{
    m_settings.limit = limit;
    while (m_open > m_settings.limit && !m_idle.empty()) {
        m_idle.pop_front();
        --m_open;
    }
    serve();
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
    m_open -= static_cast<uint32_t>(m_idle.size());
    m_idle.clear();
    std::deque<Waiter> waiters;
    waiters.swap(m_waiters);
    for (auto& it : waiters) {
        m_loop.cancel(it.timer);
        it.acquired(makeError(ResultCode::DeadlinePassed, "the pool is closing"));
    }
}

void PoolCore::giveBack(Entry entry)
{
    if (m_isShutDown || m_open > m_settings.limit) {
        entry.connection.reset();
        dropped();
        return;
    }
    m_idle.push_back(std::move(entry));
    serve();
    if (!m_isShutDown)
        scheduleIdleCheck();
}

void PoolCore::dropped()
{
    --m_open;
    serve();
}

void PoolCore::heard()
{
    m_isSuspect = false;
}

// What swallowed one connection has probably lost track of the others too. Those that answered nothing since are
// closed, so that no further request has to find out by waiting.
void PoolCore::wentSilent(Instant sentAt)
{
    auto keep = std::stable_partition(m_idle.begin(), m_idle.end(), [sentAt](const Entry& it) { return it.lastHeard > sentAt; });
    m_open -= static_cast<uint32_t>(std::distance(keep, m_idle.end()));
    m_idle.erase(keep, m_idle.end());
}

// A callback may come back here; the outermost call goes on until nothing is left to do, which keeps the stack flat.
void PoolCore::serve()
{
    if (m_isServing || m_isShutDown)
        return;
    auto self = shared_from_this();
    m_isServing = true;
    serveWaiters();
    m_isServing = false;
    openAsNeeded();
}

void PoolCore::serveWaiters()
{
    while (!m_waiters.empty() && !m_idle.empty()) {
        Entry entry = std::move(m_idle.back());
        m_idle.pop_back();
        // The other end may have closed it meanwhile; what is sent on it would be in doubt without having run.
        if (!entry.connection->isOpen()) {
            --m_open;
            continue;
        }
        Waiter waiter = std::move(m_waiters.front());
        m_waiters.pop_front();
        m_loop.cancel(waiter.timer);
        waiter.acquired(std::make_unique<HeldConnection>(shared_from_this(), std::move(entry)));
    }
}

void PoolCore::openAsNeeded()
{
    if (m_isShutDown)
        return;
    while (m_attempts < m_waiters.size() && m_open + m_attempts < m_settings.limit) {
        if (!m_backoff.mayAttempt(now(), m_attempts)) {
            scheduleRetry();
            return;
        }
        attempt();
    }
}

void PoolCore::attempt()
{
    ++m_attempts;
    m_connector.connect(m_target, m_settings.connectTimeout, [core = weak_from_this()](auto connection) {
        if (auto locked = core.lock())
            locked->attemptEnded(std::move(connection));
    });
}

void PoolCore::attemptEnded(absl::StatusOr<std::unique_ptr<TargetConnection>> connection)
{
    --m_attempts;
    if (m_isShutDown)
        return;
    if (connection.ok()) {
        ++m_open;
        m_backoff.succeeded();
        heard();
        giveBack({ *std::move(connection), now() });
        return;
    }
    m_backoff.failed(now());
    // A full target lives: it is busy, not out of reach.
    const bool isFull = resultCodeOf(connection.status()) == ResultCode::Overloaded;
    m_lastFailure = isFull ? ResultCode::Overloaded : ResultCode::TargetUnreachable;
    m_isSuspect = !isFull;
    // Connections that are out may still come back: a full target refuses new ones and serves the old ones well.
    if (m_open == 0 && m_attempts == 0)
        failWaiters();
    serve();
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

void PoolCore::expire(uint64_t waiter)
{
    auto it = std::find_if(m_waiters.begin(), m_waiters.end(), [waiter](const Waiter& each) { return each.id == waiter; });
    if (it == m_waiters.end())
        return;
    auto acquired = std::move(it->acquired);
    m_waiters.erase(it);
    acquired(makeError(ResultCode::DeadlinePassed, "no connection to " + m_target.id.value() + " came free in time"));
}

void PoolCore::closeIdle()
{
    m_idleTimer = TimerId::None;
    while (!m_idle.empty() && m_idle.front().lastHeard + m_settings.idleLimit <= now()) {
        m_idle.pop_front();
        --m_open;
    }
    scheduleIdleCheck();
}

void PoolCore::scheduleIdleCheck()
{
    if (m_idleTimer != TimerId::None || m_idle.empty())
        return;
    const Milliseconds wait = m_idle.front().lastHeard + m_settings.idleLimit - now();
    m_idleTimer = m_loop.after(wait, [core = weak_from_this()] {
        if (auto locked = core.lock())
            locked->closeIdle();
    });
}

void PoolCore::scheduleRetry()
{
    if (m_retryTimer != TimerId::None || m_attempts > 0)
        return;
    m_retryTimer = m_loop.after(m_backoff.nextAttempt() - now(), [core = weak_from_this()] {
        auto locked = core.lock();
        if (!locked)
            return;
        locked->m_retryTimer = TimerId::None;
        locked->serve();
    });
}

}
