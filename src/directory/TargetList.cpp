#include "directory/TargetList.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// The list arrives up to a second late, and a statement may wait for two seconds before it is sent.
    constexpr Milliseconds useMargin { 3000 };

}

// A target in a failure domain that is cut off cannot report itself. Its entry disappears after three intervals, though the target runs,
// and is back only some seconds after the cut has ended. Statements that reach another server at its address are rejected there.
Milliseconds TargetList::gracePeriodFor(Milliseconds maxUse)
{
    return std::max(defaultGracePeriod, maxUse - useMargin);
}

void TargetList::setListed(std::vector<TargetEntry> listed, Instant now)
{
    for (auto& [id, known] : m_known) {
        if (!known.missingSince)
            known.missingSince = now;
    }
    for (auto& it : listed) {
        const auto [known, isNew] = m_known.try_emplace(it.target.id);
        update(known->second, std::move(it), isNew, now);
    }
}

void TargetList::update(Known& known, TargetEntry entry, bool isNew, Instant now)
{
    if (isNew || entry.sequence != known.entry.sequence)
        known.reportedAt = now;
    const bool wasOutdated = known.outdatedSince.has_value();
    const bool isOutdated = !entry.isLeaving && entry.sequence < known.lastLeavingSequence;
    if (!isOutdated)
        known.outdatedSince.reset();
    else if (!wasOutdated)
        known.outdatedSince = now;
    if (entry.isLeaving)
        known.lastLeavingSequence = entry.sequence;
    if (entry.isLeaving || isOutdated)
        entry.leavingSince = known.entry.leavingSince;
    if (entry.isLeaving && !known.entry.isLeaving && !isNew && !wasOutdated)
        entry.leavingSince = now;
    known.missingSince.reset();
    known.entry = std::move(entry);
}

std::vector<TargetEntry> TargetList::targets(Instant now)
{
    std::vector<TargetEntry> targets;
    for (auto it = m_known.begin(); it != m_known.end();) {
        const auto& missingSince = it->second.missingSince;
        if (missingSince && *missingSince + gracePeriodOf(it->second) <= now) {
            it = m_known.erase(it);
            continue;
        }
        targets.push_back(it->second.entry);
        targets.back().isListed = !missingSince;
        targets.back().hasLeft = hasLeft(it->second);
        // A target that has restarted counts from the beginning, too, so this is not for long.
        const auto& outdatedSince = it->second.outdatedSince;
        if (outdatedSince && now < *outdatedSince + defaultGracePeriod)
            targets.back().isLeaving = true;
        ++it;
    }
    return targets;
}

// A target removes its entry when it has left. The platform removes one after three intervals without a report, also of a target that is cut off
// and still works.
bool TargetList::hasLeft(const Known& known) const
{
    constexpr double maxIntervalsSinceReport = 2;
    return known.entry.isLeaving && known.missingSince && *known.missingSince - known.reportedAt < m_reportInterval * maxIntervalsSinceReport;
}

std::optional<Instant> TargetList::nextExpiry(Instant now) const
{
    std::optional<Instant> next;
    const auto add = [&](std::optional<Instant> since, Milliseconds period) {
        if (since && *since + period > now)
            next = std::min(next.value_or(*since + period), *since + period);
    };
    for (const auto& [id, known] : m_known) {
        add(known.missingSince, gracePeriodOf(known));
        add(known.outdatedSince, defaultGracePeriod);
    }
    return next;
}

}
