#include "fleet/NodeLoop.h"

#include <algorithm>

namespace parsleypaddle {

NodeLoop::NodeLoop(EventLoop& shared, double clockRate)
    : m_shared(shared)
    , m_clockRate(clockRate)
{
}

TimerId NodeLoop::after(Milliseconds delay, std::function<void()> task)
{
    auto timer = std::make_shared<TimerId>(TimerId::None);
    *timer = m_shared.after(delay * (1 / m_clockRate), [this, timer, task = std::move(task)] { run(*timer, task); });
    return *timer;
}

// A timer that came due during a pause can still be cancelled.
void NodeLoop::cancel(TimerId timer)
{
    m_shared.cancel(timer);
    if (timer == TimerId::None)
        return;
    const auto isCancelled = [timer](const Held& it) { return it.timer == timer; };
    m_held.erase(std::remove_if(m_held.begin(), m_held.end(), isCancelled), m_held.end());
}

void NodeLoop::run(std::function<void()> task)
{
    run(TimerId::None, std::move(task));
}

void NodeLoop::run(TimerId timer, std::function<void()> task)
{
    if (m_isStopped)
        return;
    if (m_isPaused)
        m_held.push_back({ timer, std::move(task) });
    else
        task();
}

void NodeLoop::setPaused(bool isPaused)
{
    m_isPaused = isPaused;
    while (!m_isPaused && !m_held.empty()) {
        const Held held = std::move(m_held.front());
        m_held.pop_front();
        held.task();
    }
}

void NodeLoop::stop()
{
    m_isStopped = true;
    m_held.clear();
}

}
