#pragma once

#include "base/Time.h"

namespace parsleypaddle {

/// Estimates the offered load, the slot time requested per unit of time, as an exponentially decaying average. Reads no
/// clock: callers pass the time.
class OfferedLoad {
public:
    /// Records a request for `cost` of slot time.
    void add(Milliseconds cost, Instant now);

    /// The offered load in slots: how many slots it would keep busy.
    double busySlots(Instant now) const;

private:
    double m_recentCost { 0 };
    Instant m_updatedAt;
};

}
