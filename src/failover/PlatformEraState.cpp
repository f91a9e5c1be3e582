#include "failover/PlatformEraState.h"

#include "leases/InstanceLease.h"

namespace parsleypaddle {

bool PlatformEraState::isSettled(Instant platformTime) const
{
    if (!isRestored())
        return true;
    if (!row)
        return false;
    return isExpired({ "", row->beganAt, InstanceLease::maxDuration, {}, 0 }, platformTime);
}

}
