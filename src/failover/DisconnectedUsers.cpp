#include "failover/DisconnectedUsers.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// A target is in the platform's list within two seconds of when it reaches the platform again. The rest is for the list's way to the daemons.
    constexpr Milliseconds listingTime { 3000 };
    /// A primary that cannot be reached is replaced much earlier than this, so that no change begins so long after the end of a lease under which
    /// it was used alone.
    constexpr Milliseconds maxUnnoticedTime { 30'000 };

    /// Whether the daemon has released the primary, and had been connected for long enough when it was last heard of.
    bool isConnected(const LeaseTable::Entry& entry, const LeaseTable& table, RowVersion epoch)
    {
        const Instant heardAt = isExpired(entry.lease, table.platformTime) ? entry.lease.requestedAt : table.platformTime;
        return entry.version > epoch && entry.lease.connectedSince + listingTime <= heardAt;
    }

    /// When the daemon has used the primary out of the platform's reach at the latest.
    Instant endOfUse(const LeaseTable::Entry& entry, RowVersion epoch)
    {
        return entry.version > epoch ? entry.lease.connectedSince : entry.lease.requestedAt + entry.lease.duration;
    }

    bool hasEndedBefore(const LeaseRow& lease, Instant time)
    {
        return lease.requestedAt + lease.duration + maxUnnoticedTime < time;
    }

}

// Failure domains are cut off as a whole. So if a daemon in the primary's one has been connected until the use had ended, then so was each target
// to which the primary may have replicated.
std::vector<InstanceId> findDisconnectedUsers(const LeaseTable& table, const EndedUse& use)
{
    std::vector<InstanceId> disconnected;
    Instant usedUntil;
    for (const auto& it : table.entries) {
        if (isConnected(it, table, use.epoch) || hasEndedBefore(it.lease, use.beganAt))
            continue;
        disconnected.push_back(it.instance);
        usedUntil = std::max(usedUntil, endOfUse(it, use.epoch));
    }
    const bool wasDomainConnected = !use.primaryDomain.isEmpty() && std::any_of(table.entries.begin(), table.entries.end(), [&](const LeaseTable::Entry& it) {
        return it.lease.addresses.failureDomain == use.primaryDomain && isConnected(it, table, use.epoch) && it.lease.requestedAt >= usedUntil;
    });
    return wasDomainConnected ? std::vector<InstanceId>() : disconnected;
}

}
