#include "homes/ConnectionShare.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    // Control connections reserved at each target. A group with up to three targets usually has three watchers, each with one
    // control connection to the target. Twice as many are reserved because the previous and the new watchers overlap after
    // a change of membership. The reserve does not cover the additional watchers of a group with more than three targets,
    // daemons that received calls for the group without being watchers, and old connections that a watcher keeps open beside a
    // new one because the target did not answer on them in time.
    constexpr uint32_t controlConnections = 6;
    // Ranks above 0 together get at most half of the available connections, and each of them at most half of the group's slots.
    // Each rank gets at least one connection and one slot, even if that exceeds these halves.
    constexpr uint32_t higherRankDivisor = 2;

}

TargetShare shareForRank(const GroupConfiguration& group, uint32_t rank)
{
    if (rank >= maxHomesPerTarget)
        return {};
    const uint32_t available = group.connections > controlConnections + maxHomesPerTarget ? group.connections - controlConnections : maxHomesPerTarget;
    const uint32_t others = maxHomesPerTarget - 1;
    const uint32_t otherShare = std::max(1U, available / higherRankDivisor / others);
    if (rank > 0)
        return { otherShare, std::max(1U, std::min(group.slots / higherRankDivisor, otherShare)) };
    const uint32_t homeShare = std::max(1U, available - otherShare * others);
    return { homeShare, std::min(group.slots, homeShare) };
}

}
