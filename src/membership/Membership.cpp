#include "membership/Membership.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// An instance that left a call unanswered ranks behind the responsive ones for this long, or until it answers a call.
    constexpr Milliseconds unresponsivePeriod { 3000 };
    constexpr size_t watchersPerGroup = 3;

    bool isSameEntry(const InstanceEntry& a, const InstanceEntry& b)
    {
        return a.instance == b.instance && a.failureDomain == b.failureDomain && a.host == b.host && a.port == b.port
            && a.controlPort == b.controlPort && a.isLeaving == b.isLeaving && a.cores == b.cores && a.linkMbps == b.linkMbps;
    }

}

Membership::Membership(const EventLoop& loop, InstanceEntry self)
    : m_loop(loop)
    , m_self(std::move(self))
{
    m_members[m_self.instance] = { m_self, std::nullopt };
}

void Membership::setPlatformList(const PlatformList& list)
{
    std::map<InstanceId, Member> members;
    for (const auto& it : list.instances) {
        Member& member = members[it.instance];
        member.entry = it;
        auto known = m_members.find(it.instance);
        if (known == m_members.end())
            continue;
        member.unresponsiveSince = known->second.unresponsiveSince;
        member.entry.isLeaving |= known->second.entry.isLeaving;
    }
    auto own = m_members.find(m_self.instance);
    members[m_self.instance] = own->second;
    m_leavingTargets = list.leavingTargets;
    // The platform returns the same list every few seconds, and recomputing the rankings of hundreds of daemons each time
    // would be expensive.
    const bool isUnchanged = members.size() == m_members.size()
        && std::equal(members.begin(), members.end(), m_members.begin(), [](const auto& a, const auto& b) { return isSameEntry(a.second.entry, b.second.entry); });
    if (isUnchanged)
        return;
    m_members = std::move(members);
    invalidateRankings();
}

void Membership::setLeaving(const InstanceId& instance)
{
    auto it = m_members.find(instance);
    if (it == m_members.end() || it->second.entry.isLeaving)
        return;
    it->second.entry.isLeaving = true;
    invalidateRankings();
}

void Membership::setSelfLeaving()
{
    m_self.isLeaving = true;
    setLeaving(m_self.instance);
}

void Membership::reportUnresponsive(const InstanceId& instance)
{
    auto it = m_members.find(instance);
    if (it == m_members.end())
        return;
    it->second.unresponsiveSince = m_loop.now();
    invalidateRankings();
}

void Membership::reportResponsive(const InstanceId& instance)
{
    auto it = m_members.find(instance);
    if (it == m_members.end() || !it->second.unresponsiveSince)
        return;
    it->second.unresponsiveSince.reset();
    invalidateRankings();
}

bool Membership::isUnresponsive(const InstanceId& instance) const
{
    auto it = m_members.find(instance);
    return it != m_members.end() && isSilent(it->second);
}

std::vector<InstanceEntry> Membership::instances() const
{
    std::vector<InstanceEntry> entries;
    for (const auto& [id, member] : m_members)
        entries.push_back(member.entry);
    return entries;
}

const InstanceEntry* Membership::find(const InstanceId& instance) const
{
    auto it = m_members.find(instance);
    return it == m_members.end() ? nullptr : &it->second.entry;
}

bool Membership::isLeaving(const TargetId& target) const
{
    return std::find(m_leavingTargets.begin(), m_leavingTargets.end(), target) != m_leavingTargets.end();
}

const std::vector<InstanceId>& Membership::rankedDaemonsFor(const TargetConfiguration& target) const
{
    return rankingFor(target.id.value(), target.failureDomain);
}

const std::vector<InstanceId>& Membership::rankedDaemonsFor(const GroupId& group) const
{
    if (!isLargeFleet())
        return rankingFor(group.value(), FailureDomainId());
    expireUnresponsive();
    auto& ranking = m_groupRankings[group];
    if (ranking.empty())
        ranking = rankByDomain(candidates(), group.value(), rankingLength);
    return ranking;
}

std::optional<uint32_t> Membership::rankFor(const TargetConfiguration& target) const
{
    return ownRankIn(rankedDaemonsFor(target));
}

std::optional<uint32_t> Membership::rankFor(const GroupId& group) const
{
    return ownRankIn(rankedDaemonsFor(group));
}

std::optional<uint32_t> Membership::ownRankIn(const std::vector<InstanceId>& ranking) const
{
    auto it = std::find(ranking.begin(), ranking.end(), m_self.instance);
    if (it == ranking.end())
        return std::nullopt;
    return static_cast<uint32_t>(it - ranking.begin());
}

std::vector<InstanceId> Membership::watchersOf(const GroupConfiguration& group) const
{
    std::vector<InstanceId> watchers;
    auto add = [&watchers](const InstanceId& instance) {
        if (std::find(watchers.begin(), watchers.end(), instance) == watchers.end())
            watchers.push_back(instance);
    };
    for (const auto& it : group.targets)
        add(rankedDaemonsFor(it).front());
    for (const auto& it : rankingFor(group.database.value(), FailureDomainId())) {
        if (watchers.size() >= watchersPerGroup)
            break;
        add(it);
    }
    return watchers;
}

bool Membership::isSilent(const Member& member) const
{
    return member.unresponsiveSince && m_loop.now() - *member.unresponsiveSince < unresponsivePeriod;
}

uint64_t Membership::generation() const
{
    expireUnresponsive();
    return m_generation;
}

void Membership::invalidateRankings() const
{
    m_rankings.clear();
    m_groupRankings.clear();
    ++m_generation;
    m_nextExpiry.reset();
    for (const auto& [id, member] : m_members) {
        if (!isSilent(member))
            continue;
        const Instant end = *member.unresponsiveSince + unresponsivePeriod;
        m_nextExpiry = m_nextExpiry ? std::min(*m_nextExpiry, end) : end;
    }
}

void Membership::expireUnresponsive() const
{
    if (m_nextExpiry && m_loop.now() >= *m_nextExpiry)
        invalidateRankings();
}

const std::vector<InstanceId>& Membership::rankingFor(const std::string& key, const FailureDomainId& preferred) const
{
    expireUnresponsive();
    auto& ranking = m_rankings[key + '\n' + preferred.value()];
    if (ranking.empty())
        ranking = rankByCapacity(candidates(), key, preferred, rankingLength);
    return ranking;
}

std::vector<RankingCandidate> Membership::candidates() const
{
    std::vector<RankingCandidate> result;
    result.reserve(m_members.size());
    for (const auto& [id, member] : m_members)
        result.push_back({ &member.entry, isSilent(member), isLargeFleet() ? capacityOf(member.entry) : 1 });
    return result;
}

}
