#pragma once

#include "scheduling/ScheduledWork.h"

#include <map>

namespace parsleypaddle {

/// Work that ended.
struct EndedWork {
    Work work;
    Milliseconds cost;
    Milliseconds took;
};

/// The slots of a target and the work that runs in them.
class SlotUse {
public:
    void setSettings(const WorkQueueSettings&);

    bool isFree() const { return m_running.size() < m_slots; }
    /// Whether long work may take a free slot.
    bool mayStartLong() const { return isFree() && m_long < m_longSlots; }

    void start(const WaitingWork&, Instant now);
    std::optional<EndedWork> finish(WorkId, Instant now);

    /// Counts running work that has gone past the limit of short work as long from now on. Returns how many it found.
    uint64_t reclassify(Instant now);

    /// Slot time that the running work is still expected to take.
    Milliseconds remaining(Instant now) const;

    uint32_t slots() const { return m_slots; }
    uint32_t longSlots() const { return m_longSlots; }
    size_t running() const { return m_running.size(); }

private:
    struct Running {
        WaitingWork waiting;
        Instant startedAt;
    };

    uint32_t m_slots { 1 };
    uint32_t m_longSlots { 1 };
    Milliseconds m_longWork;
    uint32_t m_long { 0 };
    std::map<WorkId, Running> m_running;
};

}
