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
        const TargetId id = it.target.id;
        m_known[id] = { std::move(it), std::nullopt };
    }
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
        ++it;
    }
    return targets;
}

std::optional<Instant> TargetList::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto& [id, known] : m_known) {
        if (!known.missingSince)
            continue;
        const Instant end = *known.missingSince + missingGracePeriod;
        next = next ? std::min(*next, end) : end;
    }
    return next;
}

}
