#include "fleet/NodeLoop.h"

namespace parsleypaddle {

NodeLoop::NodeLoop(EventLoop& shared)
    : m_shared(shared)
{
}

TimerId NodeLoop::after(Milliseconds delay, std::function<void()> task)
{
    return m_shared.after(delay, [this, task = std::move(task)] { run(task); });
}

void NodeLoop::cancel(TimerId timer)
{
    m_shared.cancel(timer);
}

void NodeLoop::run(std::function<void()> task)
{
    if (m_isStopped)
        return;
    if (m_isPaused)
        m_held.push_back(std::move(task));
    else
        task();
}

void NodeLoop::setPaused(bool isPaused)
{
    m_isPaused = isPaused;
    if (isPaused)
        return;
    std::vector<std::function<void()>> held;
    held.swap(m_held);
    for (auto& it : held)
        run(std::move(it));
}

void NodeLoop::stop()
{
    m_isStopped = true;
    m_held.clear();
}

}
