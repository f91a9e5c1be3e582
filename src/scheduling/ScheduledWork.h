#pragma once

#include "scheduling/WorkQueue.h"

namespace parsleypaddle {

/// Work with the estimates by which the queue schedules it.
struct ScheduledWork {
    WorkItem work;
    /// Estimated slot time.
    Milliseconds cost;
    /// Whether the work counts against the limit on slots for long work.
    bool isLong { false };
    /// Whether the work can no longer meet its objective.
    bool isLate { false };
    /// Work that has not started by this time would probably miss its objective or, if it is late, its deadline.
    Instant latestStart;
    /// Work that has not started by this time is shed, because it would probably miss its deadline.
    Instant finalStart;
};

/// Which work may take the next slot: any, or only short work while long work occupies its share of the slots.
enum class Eligibility : uint8_t {
    Any,
    ShortOnly,
};

}
