#include "relay/RelayGroup.h"

#include "relay/RelayRun.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// Expected time of a statement at a target that has not answered lately.
    constexpr Milliseconds unknownDelay { 20 };
    /// A target in another failure domain must be faster by this to be worth the bytes between failure domains.
    constexpr Milliseconds otherDomainCost { 10 };
    /// The primary must be faster by this for a read that a replica may serve, since only it can serve writes.
    constexpr Milliseconds primaryCost { 15 };

}

RelayGroup::RelayGroup(EventLoop& loop, TargetConnector& connector, const PrimaryLease& lease, PrimaryObserver& observer, DecisionLog& log, GroupId id, FailureDomainId own)
    : m_loop(loop)
    , m_connector(connector)
    , m_lease(lease)
    , m_observer(observer)
    , m_log(log)
    , m_id(std::move(id))
    , m_ownDomain(std::move(own))
{
}

void RelayGroup::setTargets(const std::vector<TargetEntry>& entries)
{
    std::map<TargetId, std::shared_ptr<RelayTarget>> targets;
    for (const auto& entry : entries) {
        auto known = m_targets.find(entry.target.id);
        const bool isSame = known != m_targets.end() && known->second->entry().target.address == entry.target.address;
        auto target = isSame ? known->second : std::make_shared<RelayTarget>(m_loop, m_connector, entry, std::hash<std::string>()(m_ownDomain.value() + entry.target.id.value()));
        target->setEntry(entry);
        target->setConnections(m_connections);
        targets.emplace(entry.target.id, std::move(target));
    }
    m_targets.swap(targets);
}

void RelayGroup::setConnections(uint32_t connections)
{
    m_connections = connections;
    for (auto& [id, target] : m_targets)
        target->setConnections(connections);
}

void RelayGroup::setPrimary(const PrimaryBelief& belief)
{
    // Marks of an older term say nothing about the log of the new one.
    if (belief.term != m_primary.term)
        m_marks.clear();
    m_primary = belief;
}

void RelayGroup::run(RelayJob job)
{
    m_retries.firstAttempt();
    RelayRun::start(*this, std::move(job));
}

std::optional<Instant> RelayGroup::oldestPrimaryWait() const
{
    std::optional<Instant> oldest;
    for (const PrimaryUse* it : m_uses) {
        const auto since = it->waitingSince();
        if (since && (!oldest || *since < *oldest))
            oldest = since;
    }
    return oldest;
}

void RelayGroup::abandonPrimary()
{
    // Abandoned uses leave while this goes on.
    const std::vector<PrimaryUse*> uses(m_uses.begin(), m_uses.end());
    for (PrimaryUse* it : uses) {
        if (m_uses.count(it) > 0)
            it->abandon();
    }
}

void RelayGroup::enter(PrimaryUse& use)
{
    m_uses.insert(&use);
}

void RelayGroup::leave(PrimaryUse& use)
{
    m_uses.erase(&use);
}

std::shared_ptr<RelayTarget> RelayGroup::primaryTarget() const
{
    auto it = m_targets.find(m_primary.primary);
    return it == m_targets.end() ? nullptr : it->second;
}

std::optional<LogMark> RelayGroup::neededMark(const RelayJob& job) const
{
    if (job.route->readRule == ReadRule::Primary)
        return std::nullopt;
    auto needed = m_marks.required(m_loop.now(), job.route->greatestAge);
    if (!needed || job.route->readRule == ReadRule::BoundedStaleness || job.own.term == Term())
        return needed;
    // After a change of primary, any mark of the new term covers the session's commits that survived.
    return job.own.term == m_primary.term ? std::max(*needed, job.own.mark) : needed;
}

std::vector<ReadPlace> RelayGroup::readPlaces(const RelayJob& job, const std::set<TargetId>& tried) const
{
    struct Ranked {
        ReadPlace place;
        Milliseconds cost;
    };
    const auto needed = neededMark(job);
    std::vector<Ranked> ranked;
    for (const auto& [id, target] : m_targets) {
        const bool isPrimary = id == m_primary.primary;
        if (tried.count(id) > 0 || target->entry().isLeaving)
            continue;
        if (isPrimary ? !mayUsePrimary() : !needed)
            continue;
        ranked.push_back({ { target, isPrimary ? std::nullopt : needed, isPrimary }, costOf(*target, isPrimary) });
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) { return a.cost < b.cost; });
    std::vector<ReadPlace> places;
    for (auto& it : ranked)
        places.push_back(std::move(it.place));
    return places;
}

Milliseconds RelayGroup::costOf(RelayTarget& target, bool isPrimary) const
{
    Milliseconds cost = target.expectedDelay(unknownDelay);
    if (target.entry().target.failureDomain != m_ownDomain)
        cost = cost + otherDomainCost;
    if (isPrimary)
        cost = cost + primaryCost;
    // Avoided targets come behind all others, and are still asked when there is no other.
    constexpr Milliseconds avoidedCost { 100'000 };
    return target.experience().isAvoided(m_loop.now()) ? cost + avoidedCost : cost;
}

}
