#include "scheduling/ExecutionSlots.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

void ExecutionSlots::setSettings(const WorkQueueSettings& settings)
{
    m_slots = std::max(settings.slots, 1U);
    const double longSlots = std::floor(settings.longWorkShare * m_slots);
    m_longSlots = static_cast<uint32_t>(std::clamp(longSlots, 1.0, static_cast<double>(m_slots)));
    m_longWork = settings.longWorkThreshold;
}

void ExecutionSlots::occupy(const ScheduledWork& scheduled, Instant now)
{
    m_running[scheduled.work.id] = { scheduled, now };
    m_runningLong += scheduled.isLong ? 1 : 0;
}

std::optional<FinishedWork> ExecutionSlots::release(WorkId id, Instant now)
{
    auto it = m_running.find(id);
    if (it == m_running.end())
        return std::nullopt;
    const RunningWork& running = it->second;
    m_runningLong -= running.scheduled.isLong ? 1 : 0;
    FinishedWork ended { running.scheduled, now - running.startedAt };
    m_running.erase(it);
    return ended;
}

uint64_t ExecutionSlots::reclassifyOverruns(Instant now)
{
    uint64_t found = 0;
    for (auto& [id, running] : m_running) {
        if (running.scheduled.isLong || now - running.startedAt <= m_longWork)
            continue;
        running.scheduled.isLong = true;
        ++m_runningLong;
        ++found;
    }
    return found;
}

Milliseconds ExecutionSlots::remainingCost(Instant now) const
{
    Milliseconds sum;
    for (const auto& [id, running] : m_running)
        sum = sum + std::max(running.scheduled.cost - (now - running.startedAt), Milliseconds(0));
    return sum;
}

}
