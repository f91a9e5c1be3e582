#pragma once

#include "scheduling/WorkQueue.h"

namespace parsleypaddle {

/// Work as a queue holds it while it waits.
struct WaitingWork {
    Work work;
    /// Slot time that it is expected to take.
    Milliseconds cost;
    bool isLong { false };
    /// Started later, it would miss its deadline.
    Instant latestStart;
};

/// Which work may start now.
enum class Eligibility : uint8_t {
    Any,
    ShortOnly,
};

}
