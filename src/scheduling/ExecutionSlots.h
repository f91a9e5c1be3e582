#pragma once

#include "scheduling/ScheduledWork.h"

#include <map>

namespace parsleypaddle {

/// Work that has finished, with the estimates that it was scheduled by and the time that it ran.
struct FinishedWork {
    ScheduledWork scheduled;
    Milliseconds duration;
};

/// The execution slots of a target and the work that occupies them.
class ExecutionSlots {
public:
    void setSettings(const WorkQueueSettings&);

    bool hasFreeSlot() const { return m_running.size() < m_slots; }
    /// Whether long work may start: a slot is free and long work occupies less than its share of the slots.
    bool hasFreeSlotForLongWork() const { return hasFreeSlot() && m_runningLong < m_longSlots; }

    /// Marks a slot as occupied by the work.
    void occupy(const ScheduledWork&, Instant now);
    /// Frees the slot of finished work; nullopt when no slot runs work with this id.
    std::optional<FinishedWork> release(WorkId, Instant now);

    /// Marks running short work as long once it has run for more than the limit of short work, and returns how many were marked.
    uint64_t reclassifyOverruns(Instant now);

    /// Sum of the estimated remaining run times of all running work. Work that has exceeded its estimate counts as 0.
    Milliseconds remainingCost(Instant now) const;

    uint32_t slots() const { return m_slots; }
    uint32_t longSlots() const { return m_longSlots; }
    size_t running() const { return m_running.size(); }

private:
    struct RunningWork {
        ScheduledWork scheduled;
        Instant startedAt;
    };

    uint32_t m_slots { 1 };
    uint32_t m_longSlots { 1 };
    Milliseconds m_longWork;
    uint32_t m_runningLong { 0 };
    std::map<WorkId, RunningWork> m_running;
};

}
