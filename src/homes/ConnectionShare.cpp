#include "homes/ConnectionShare.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    // One from each of the three watchers, and as many again while old and new watchers overlap.
    constexpr uint32_t controlConnections = 6;
    constexpr uint32_t homeShareDivisor = 2;

}

TargetShare shareOf(const GroupConfiguration& group, uint32_t rank)
{
    if (rank >= mostHomesOfTarget)
        return {};
    const uint32_t usable = group.connections > controlConnections + mostHomesOfTarget ? group.connections - controlConnections : mostHomesOfTarget;
    const uint32_t others = mostHomesOfTarget - 1;
    const uint32_t otherShare = std::max(1U, usable / homeShareDivisor / others);
    if (rank > 0)
        return { otherShare, std::max(1U, std::min(group.slots / homeShareDivisor, otherShare)) };
    const uint32_t homeShare = std::max(1U, usable - otherShare * others);
    return { homeShare, std::min(group.slots, homeShare) };
}

}
