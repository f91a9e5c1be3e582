#include "base/VirtualLoop.h"

#include <algorithm>

namespace parsleypaddle {

VirtualLoop::VirtualLoop(Instant start)
    : m_now(start)
{
}

TimerId VirtualLoop::after(Milliseconds delay, std::function<void()> task)
{
    const uint64_t timer = ++m_lastTimer;
    const Instant due = m_now + std::max(delay, Milliseconds(0));
    const Key key { due.sinceEpoch(), timer };
    m_tasks.emplace(key, std::move(task));
    m_keys.emplace(timer, key);
    return TimerId { timer };
}

void VirtualLoop::cancel(TimerId timer)
{
    auto it = m_keys.find(static_cast<uint64_t>(timer));
    if (it == m_keys.end())
        return;
    m_tasks.erase(it->second);
    m_keys.erase(it);
}

void VirtualLoop::advance(Milliseconds span)
{
    const Instant end = m_now + span;
    while (runNext(end)) { }
    m_now = end;
}

bool VirtualLoop::runUntil(const std::function<bool()>& isDone, Milliseconds limit)
{
    const Instant end = m_now + limit;
    while (!isDone()) {
        if (!runNext(end)) {
            m_now = end;
            return isDone();
        }
    }
    return true;
}

bool VirtualLoop::runNext(Instant limit)
{
    if (m_tasks.empty())
        return false;
    auto it = m_tasks.begin();
    const Instant due(it->first.first);
    if (due > limit)
        return false;
    auto task = std::move(it->second);
    m_keys.erase(it->first.second);
    m_tasks.erase(it);
    m_now = std::max(m_now, due);
    task();
    return true;
}

}
