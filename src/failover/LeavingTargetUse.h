#pragma once

#include "directory/TargetEntry.h"
#include "failover/KnownTargets.h"
#include "leases/InstanceLease.h"

#include <optional>

namespace parsleypaddle {

/// Until when targets that leave may be used as primaries, as of one moment.
class LeavingTargetUse {
public:
    /// `maxUse`: for how long after a target has reported that it leaves.
    LeavingTargetUse(const KnownTargets& known, const InstanceLease& lease, Instant now, Milliseconds maxUse)
        : m_known(known)
        , m_lease(lease)
        , m_now(now)
        , m_maxUse(maxUse)
    {
    }

    /// Since when the target leaves, by this daemon's clock; unset if it does not, or that is not known.
    std::optional<Instant> leavingSince(const TargetEntry&) const;
    /// The same by the platform's clock, as the row of known targets has to say it.
    std::optional<Instant> leavingSinceInRow(const TargetEntry&, const KnownTarget&) const;
    /// Instant::max() for a target that does not leave, and a time in the past if it is not known since when it leaves.
    Instant usableUntil(const TargetEntry&) const;
    bool isUsable(const TargetEntry& entry) const { return m_now < usableUntil(entry); }
    /// Whether the target may be used for long enough to be promoted in place of a primary that answers.
    bool isWorthPromoting(const TargetEntry&) const;

private:
    const KnownTargets& m_known;
    const InstanceLease& m_lease;
    Instant m_now;
    Milliseconds m_maxUse;
};

}
