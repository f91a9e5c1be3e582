#pragma once

#include "base/Time.h"

namespace parsleypaddle {

/// The rate at which slot time is asked for, in slots, averaged over the last moments. Pure.
class DemandMeter {
public:
    void add(Milliseconds work, Instant now);

    /// Slots that the demand would keep busy.
    double slots(Instant now) const;

private:
    double m_recentWork { 0 };
    Instant m_updatedAt;
};

}
