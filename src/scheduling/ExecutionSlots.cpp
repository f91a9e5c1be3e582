#include "scheduling/ExecutionSlots.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

void SlotUse::setSettings(const WorkQueueSettings& settings)
{
    m_slots = std::max(settings.slots, 1U);
    const double longSlots = std::floor(settings.longWorkShare * m_slots);
    m_longSlots = static_cast<uint32_t>(std::clamp(longSlots, 1.0, static_cast<double>(m_slots)));
    m_longWork = settings.longWork;
}

void SlotUse::start(const WaitingWork& waiting, Instant now)
{
    m_running[waiting.work.id] = { waiting, now };
    m_long += waiting.isLong ? 1 : 0;
}

std::optional<EndedWork> SlotUse::finish(WorkId id, Instant now)
{
    auto it = m_running.find(id);
    if (it == m_running.end())
        return std::nullopt;
    const Running& running = it->second;
    m_long -= running.waiting.isLong ? 1 : 0;
    EndedWork ended { running.waiting.work, running.waiting.cost, now - running.startedAt };
    m_running.erase(it);
    return ended;
}

uint64_t SlotUse::reclassify(Instant now)
{
    uint64_t found = 0;
    for (auto& [id, running] : m_running) {
        if (running.waiting.isLong || now - running.startedAt <= m_longWork)
            continue;
        running.waiting.isLong = true;
        ++m_long;
        ++found;
    }
    return found;
}

Milliseconds SlotUse::remaining(Instant now) const
{
    Milliseconds sum;
    for (const auto& [id, running] : m_running)
        sum = sum + std::max(running.waiting.cost - (now - running.startedAt), Milliseconds(0));
    return sum;
}

}
