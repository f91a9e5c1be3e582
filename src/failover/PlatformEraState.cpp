#include "failover/PlatformEraState.h"

#include "leases/InstanceLease.h"

namespace parsleypaddle {

namespace {

    bool hasLongestLeaseExpired(Instant since, Instant now)
    {
        return isExpired({ "", since, InstanceLease::maxDuration, {}, 0 }, now);
    }

}

bool PlatformEraState::isSettled(Instant platformTime) const
{
    return !isRestored() || (row && hasLongestLeaseExpired(row->beganAt, platformTime));
}

bool PlatformEraState::isSettledSince(Instant now) const
{
    return !isRestored() || (row && hasLongestLeaseExpired(rowSince, now));
}

}
