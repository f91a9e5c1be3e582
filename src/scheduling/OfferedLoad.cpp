#include "scheduling/OfferedLoad.h"

#include <cmath>

namespace parsleypaddle {

namespace {

    /// Time over which demand is averaged: long enough for a rate, short enough to follow a swing within seconds.
    constexpr Milliseconds window { 500 };

    double decayed(double work, Milliseconds since)
    {
        return work * std::exp(-since.count() / window.count());
    }

}

void DemandMeter::add(Milliseconds work, Instant now)
{
    m_recentWork = decayed(m_recentWork, now - m_updatedAt) + work.count();
    m_updatedAt = now;
}

double DemandMeter::slots(Instant now) const
{
    return decayed(m_recentWork, now - m_updatedAt) / window.count();
}

}
