#include "directory/TargetList.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// After an outage of the platform, running targets are listed again within two seconds. The other 500 ms are for
    /// receiving the new list.
    constexpr Milliseconds missingGracePeriod { 2500 };

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
        if (missingSince && *missingSince + missingGracePeriod <= now) {
            it = m_known.erase(it);
            continue;
        }
        targets.push_back(it->second.entry);
        // A target that has restarted counts from the beginning, too, so this is not for long.
        const auto& outdatedSince = it->second.outdatedSince;
        if (outdatedSince && now < *outdatedSince + missingGracePeriod)
            targets.back().isLeaving = true;
        ++it;
    }
    return targets;
}

std::optional<Instant> TargetList::nextExpiry(Instant now) const
{
    std::optional<Instant> next;
    for (const auto& [id, known] : m_known) {
        for (const auto& since : { known.missingSince, known.outdatedSince }) {
            if (since && *since + missingGracePeriod > now)
                next = std::min(next.value_or(*since + missingGracePeriod), *since + missingGracePeriod);
        }
    }
    return next;
}

}
