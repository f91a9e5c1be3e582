#include "failover/DisconnectedUsers.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// A target is in the platform's list within two seconds of when it reaches the platform again. The rest is for the list's way to the daemons.
    constexpr Milliseconds listingTime { 3000 };
    /// A primary that cannot be reached is replaced much earlier than this, so that no change begins so long after the end of a lease under which
    /// it was used alone.
    constexpr Milliseconds maxUnnoticedTime { 30'000 };

    bool isConnected(const LeaseTable::Entry& entry, const LeaseTable& table, RowVersion epoch)
    {
        return entry.version > epoch && !isExpired(entry.lease, table.platformTime) && entry.lease.connectedSince + listingTime <= table.platformTime;
    }

    bool hasEndedBefore(const LeaseRow& lease, Instant time)
    {
        return lease.requestedAt + lease.duration + maxUnnoticedTime < time;
    }

}

// Failure domains are cut off as a whole. So if a daemon in the primary's one has been connected all the time, then so was each target to which
// the primary may have replicated.
std::vector<InstanceId> findDisconnectedUsers(const LeaseTable& table, const EndedUse& use)
{
    std::vector<InstanceId> disconnected;
    for (const auto& it : table.entries) {
        const bool isInDomain = !use.primaryDomain.isEmpty() && it.lease.addresses.failureDomain == use.primaryDomain;
        const bool hasReached = isConnected(it, table, use.epoch);
        if (hasReached && isInDomain)
            return {};
        if (!hasReached && !hasEndedBefore(it.lease, use.beganAt))
            disconnected.push_back(it.instance);
    }
    return disconnected;
}

}
