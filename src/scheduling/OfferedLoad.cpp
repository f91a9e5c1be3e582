#include "scheduling/OfferedLoad.h"

#include <cmath>

namespace parsleypaddle {

namespace {

    /// Time constant of the decay: long enough for a stable rate, short enough to follow load changes within seconds.
    constexpr Milliseconds averagingWindow { 500 };

    double decayed(double cost, Milliseconds since)
    {
        return cost * std::exp(-since.count() / averagingWindow.count());
    }

}

void OfferedLoad::add(Milliseconds cost, Instant now)
{
    m_recentCost = decayed(m_recentCost, now - m_updatedAt) + cost.count();
    m_updatedAt = now;
}

double OfferedLoad::busySlots(Instant now) const
{
    return decayed(m_recentCost, now - m_updatedAt) / averagingWindow.count();
}

}
