#include "failover/LeavingTargetUse.h"

namespace parsleypaddle {

namespace {

    /// A change takes about a third of this.
    constexpr Milliseconds minUse { 1500 };

}

// A daemon that was started since then has learnt from the first list that the target leaves, but not since when.
std::optional<Instant> LeavingTargetUse::leavingSince(const TargetEntry& entry) const
{
    const auto known = m_known.find(entry.target.id);
    const auto platformTime = m_lease.latestPlatformTime();
    if (entry.leavingSince || known == m_known.end() || !known->second.leavingSince || !platformTime)
        return entry.leavingSince;
    return m_now - (*platformTime - *known->second.leavingSince);
}

std::optional<Instant> LeavingTargetUse::leavingSinceInRow(const TargetEntry& entry, const KnownTarget& known) const
{
    if (!entry.isLeaving)
        return std::nullopt;
    const auto platformTime = m_lease.earliestPlatformTime();
    if (known.leavingSince || !entry.leavingSince || !platformTime)
        return known.leavingSince;
    return *platformTime - (m_now - *entry.leavingSince);
}

Instant LeavingTargetUse::usableUntil(const TargetEntry& entry) const
{
    if (!entry.isLeaving)
        return Instant::max();
    const auto since = leavingSince(entry);
    return since ? *since + m_maxUse : Instant();
}

bool LeavingTargetUse::isWorthPromoting(const TargetEntry& entry) const
{
    return m_now + minUse <= usableUntil(entry);
}

}
