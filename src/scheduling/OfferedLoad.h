#pragma once

#include "base/Time.h"

namespace parsleypaddle {

/// Estimates the offered load, the slot time that admitted work needs per unit of time, as an exponentially decaying average.
/// Rejected work is not counted: the work queue adds only work that it admits. Reads no clock: callers pass the time.
class OfferedLoad {
public:
    /// Records admitted work that is estimated to need `cost` of slot time.
    void add(Milliseconds cost, Instant now);

    /// How many slots the recorded work would keep busy.
    double busySlots(Instant now) const;

private:
    double m_recentCost { 0 };
    Instant m_updatedAt;
};

}
