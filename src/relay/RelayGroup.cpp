#include "relay/RelayGroup.h"

#include "relay/RelayRun.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace parsleypaddle {

namespace {

    /// Fraction of a target's connection limit that the daemons share. After a power failure, a target still counts the lost
    /// connections for some seconds; restarted daemons can reconnect meanwhile within the rest of the limit.
    constexpr double sharedFraction = 0.6;
    /// Connections per daemon and target below which only a few daemons, the group's homes, connect. With a single connection,
    /// one open transaction would block all other callers of the daemon from that target.
    constexpr double minConnectionsPerDaemon = 1.5;
    /// Statements that all homes of a group together send to a target, for each that it runs at a time, and the least number for one
    /// home, since homes receive unequal shares.
    constexpr double statementsPerSlot = 4;
    constexpr uint32_t minStatements = 2;
    /// Limit of connections to one peer daemon for one database.
    constexpr uint32_t connectionsPerPeer = 8;
    /// How long a primary that will shut down soon may be given new work until the change of primary has begun. It serves for seven
    /// seconds after the platform has received its report, which this daemon may hear of late.
    constexpr Milliseconds defaultLeavingPrimaryUse { 3000 };
    /// Expected duration of a statement at a target without recent answers.
    constexpr Milliseconds defaultDelay { 20 };
    /// Typical duration of a failover when all daemons are healthy: about 600 ms for the promotion, the rest for detection.
    constexpr Milliseconds failoverDuration { 1000 };
    /// Shortest retry delay given to callers, in which a target's queue advances by a few statements.
    constexpr Milliseconds minRetryAfter { 50 };
    /// Added to the expected duration at a target or daemon in another failure domain, to save traffic between domains.
    constexpr Milliseconds crossDomainCost { 30 };
    /// Added to the expected duration of a read at the primary, to prefer replicas, because only the primary can run writes.
    constexpr Milliseconds primaryCost { 15 };
    /// Added to the expected duration of a read in proportion to the target's failures: a read that fails is answered after its objective.
    constexpr Milliseconds failureCost { 200 };
    /// Added for a replica that probably lacks the log that the read requires.
    constexpr Milliseconds behindCost { 10'000 };
    /// Homes whose costs differ by less than this factor count as equally good for the statements of an organisation. One more statement
    /// that waits at a home raises its cost by an eighth, and opening a connection there costs 12 ms.
    constexpr double aboutEqualCost = 1.5;

    MetricCounter counterOf(PaceReason reason)
    {
        static constexpr std::array<MetricCounter, 7> counters { MetricCounter::SlowStarts, MetricCounter::SlowStarts, MetricCounter::SlowStarts, MetricCounter::SharesReached, MetricCounter::LimitsShrunkByLatency, MetricCounter::LimitsShrunkByBusy, MetricCounter::LimitsShrunkByFailures };
        return counters[static_cast<size_t>(reason)];
    }

    MetricCounter counterOf(PoolEvent event)
    {
        switch (event) {
        case PoolEvent::Reused:
            return MetricCounter::ConnectionsReused;
        case PoolEvent::Opened:
            return MetricCounter::ConnectionsOpened;
        case PoolEvent::Evicted:
            return MetricCounter::ConnectionsEvicted;
        case PoolEvent::Waited:
            break;
        }
        return MetricCounter::ConnectionWaits;
    }

}

RelayGroup::RelayGroup(EventLoop& loop, TargetConnector& connector, const PrimaryLease& lease, PrimaryObserver& observer, DecisionLog& log, Metrics& metrics, Membership& membership, GroupId id)
    : m_loop(loop)
    , m_connector(connector)
    , m_lease(lease)
    , m_observer(observer)
    , m_log(log)
    , m_metrics(metrics)
    , m_id(std::move(id))
    , m_membership(membership)
    , m_homeOffset(std::hash<std::string>()(membership.self().instance.value()))
    , m_leavingPrimaryUse(defaultLeavingPrimaryUse)
{
}

void RelayGroup::setLeavingPrimaryUse(Milliseconds use)
{
    m_leavingPrimaryUse = std::max(defaultLeavingPrimaryUse, use);
}

void RelayGroup::setTargets(std::vector<TargetEntry> entries)
{
    m_entries = std::move(entries);
    if (m_areTargetsUsed)
        updateTargets();
}

void RelayGroup::updateTargets()
{
    std::map<TargetId, std::shared_ptr<RelayTarget>> targets;
    for (const auto& entry : m_entries) {
        auto known = m_targets.find(entry.target.id);
        const bool isSame = known != m_targets.end() && known->second->entry().target.address == entry.target.address;
        auto target = isSame ? known->second : std::make_shared<RelayTarget>(m_loop, m_connector, entry, std::hash<std::string>()(m_membership.self().instance.value() + entry.target.id.value()), [this](PoolEvent event) { m_metrics.count(counterOf(event)); });
        target->setEntry(entry);
        applyLimits(*target);
        targets.emplace(entry.target.id, std::move(target));
    }
    m_targets.swap(targets);
}

// In a large fleet a daemon is a home of few groups. The pools and queues for the targets of all the others would take most of its
// memory.
const std::map<TargetId, std::shared_ptr<RelayTarget>>& RelayGroup::targets()
{
    if (!std::exchange(m_areTargetsUsed, true))
        updateTargets();
    return m_targets;
}

void RelayGroup::setConnectionLimit(uint32_t limit, double share)
{
    const double shared = limit * sharedFraction;
    const size_t daemons = m_membership.size();
    m_isFullMesh = shared / static_cast<double>(daemons) >= minConnectionsPerDaemon;
    m_connectionLimit = static_cast<uint32_t>(std::max(1L, std::lround(shared * (m_isFullMesh ? share : 1.0 / Membership::rankingLength))));
    for (auto& [id, target] : m_targets)
        applyLimits(*target);
}

// Where every daemon connects to every target, each has so few statements at a time that there is nothing to adapt.
void RelayGroup::applyLimits(RelayTarget& target)
{
    target.setLimits(m_connectionLimit, statementLimit(target.entry()));
    if (m_isFullMesh)
        return target.fixLimit();
    const TargetId id = target.entry().target.id;
    target.adaptLimit(m_homeOffset + std::hash<std::string>()(id.value()), [this, id](const PaceChange& change) { reportPace(id, change); });
}

void RelayGroup::reportPace(const TargetId& target, const PaceChange& change)
{
    m_metrics.count(counterOf(change.reason));
    if (change.isLogged)
        m_log.write("target_pace", { { "group", m_id.value() }, { "target", target.value() }, { "limit", std::to_string(change.limit) }, { "reason", nameOf(change.reason) } });
}

// A target that is full queues statements in the order of their arrival and refuses more. The queues of the homes know deadlines and
// urgencies, so the homes together send only a few times as many statements as the target runs at a time.
uint32_t RelayGroup::statementLimit(const TargetEntry& entry) const
{
    if (m_isFullMesh)
        return m_connectionLimit;
    const double part = std::ceil(entry.slots * statementsPerSlot / static_cast<double>(Membership::rankingLength));
    return std::min(m_connectionLimit, std::max(minStatements, static_cast<uint32_t>(part)));
}

void RelayGroup::setPrimary(const PrimaryView& belief)
{
    // Log marks of the old term do not apply to the log of the new primary.
    if (belief.term != m_primary.term)
        m_logHistory.clear();
    logAcknowledgedWrites(belief);
    const bool isReplaced = belief.primary != m_primary.primary && m_primary.primary != TargetId();
    m_primary = belief;
    auto target = m_targets.find(m_primary.primary);
    if (isReplaced && target != m_targets.end())
        target->second->beginSlowly(PaceReason::PrimaryChanged);
}

// Answers that arrive after the primary was closed are logged with the next change. A daemon without a valid lease has stopped using the
// primary before it hears of the change.
void RelayGroup::logAcknowledgedWrites(const PrimaryView& next)
{
    const bool isClosed = m_primary.isAvailable && !next.isAvailable;
    const auto lastAnswer = m_acknowledgedWrites.lastAnswer();
    if (!lastAnswer || (!isClosed && next.primary == m_primary.primary && next.term == m_primary.term))
        return;
    m_acknowledgedWrites.logAndClear(m_log, m_id, m_primary.primary, m_primary.term, mayUsePrimary() ? m_loop.now() : *lastAnswer);
}

void RelayGroup::run(RelayJob job)
{
    m_retryBudget.recordFirstAttempt();
    RelayRun::startStatement(*this, std::move(job));
}

std::optional<Instant> RelayGroup::oldestPrimaryWait() const
{
    std::optional<Instant> oldest;
    for (const PrimaryUse* it : m_primaryUses) {
        const auto since = it->waitingSince();
        if (since && (!oldest || *since < *oldest))
            oldest = since;
    }
    return oldest;
}

void RelayGroup::abandonPrimary()
{
    // Iterates over a copy, because abandoned uses remove themselves from m_primaryUses.
    const std::vector<PrimaryUse*> uses(m_primaryUses.begin(), m_primaryUses.end());
    for (PrimaryUse* it : uses) {
        if (m_primaryUses.count(it) > 0)
            it->abandon();
    }
}

void RelayGroup::addPrimaryUse(PrimaryUse& use)
{
    m_primaryUses.insert(&use);
}

void RelayGroup::removePrimaryUse(PrimaryUse& use)
{
    m_primaryUses.erase(&use);
}

std::shared_ptr<RelayTarget> RelayGroup::primaryTarget()
{
    auto it = targets().find(m_primary.primary);
    return it == m_targets.end() ? nullptr : it->second;
}

std::optional<LogMark> RelayGroup::requiredMark(const RelayJob& job) const
{
    if (job.route->readConsistency == ReadConsistency::Primary)
        return std::nullopt;
    return m_logHistory.requiredMark(m_loop.now(), job.route->greatestAge, job.requiredCommit());
}

std::optional<StatementDestination> RelayGroup::chooseDestination(const RelayJob& job, const std::set<TargetId>& tried)
{
    // A forwarded statement runs here even if this daemon does not rank itself as a home: the sender's ranking may differ,
    // because it moves daemons that it found silent to the end.
    if (!isHome() && !job.isForwarded)
        return homeDestination(job, tried);
    return job.needsPrimary() ? primaryDestination(job, tried) : readDestination(job, tried);
}

std::optional<StatementDestination> RelayGroup::primaryDestination(const RelayJob& job, const std::set<TargetId>& tried)
{
    auto target = primaryTarget();
    if (!target || !m_primary.isAvailable)
        return std::nullopt;
    const auto leavingSince = target->entry().leavingSince ? target->entry().leavingSince : m_primaryLeavingSince;
    if (target->entry().isLeaving && (!leavingSince || m_loop.now() >= *leavingSince + m_leavingPrimaryUse))
        return std::nullopt;
    const bool isUsable = m_lease.isValid() && tried.count(target->entry().target.id) == 0;
    const bool isReachable = !target->experience().isAvoided(m_loop.now());
    if (isUsable && (isReachable || job.isForwarded))
        return StatementDestination { std::move(target), std::nullopt, true, {} };
    if (auto destination = peerDestination(job, target->entry().target, tried))
        return destination;
    if (isUsable)
        return StatementDestination { std::move(target), std::nullopt, true, {} };
    return std::nullopt;
}

std::optional<StatementDestination> RelayGroup::readDestination(const RelayJob& job, const std::set<TargetId>& tried)
{
    const auto required = requiredMark(job);
    std::optional<StatementDestination> best;
    Milliseconds least;
    for (const auto& [id, target] : targets()) {
        const bool isPrimary = id == m_primary.primary;
        if (tried.count(id) > 0 || target->entry().isLeaving || (!isPrimary && !required))
            continue;
        const bool isLocal = !isPrimary || mayUsePrimary();
        auto destination = isLocal ? StatementDestination { target, isPrimary ? std::nullopt : required, isPrimary, {} } : std::optional<StatementDestination>();
        if (!destination && m_primary.isAvailable)
            destination = peerDestination(job, target->entry().target, tried);
        if (!destination)
            continue;
        const bool isBehind = destination->requiredMark && destination->target->experience().isBehind(*destination->requiredMark, m_loop.now());
        const Milliseconds cost = costOf(*destination->target, isPrimary) + (isBehind ? behindCost : Milliseconds(0));
        if (best && least <= cost)
            continue;
        best = std::move(destination);
        least = cost;
    }
    return best;
}

// For a single target, rankedDaemonsFor() lists the daemons of the target's failure domain first, so that the traffic crosses between
// failure domains only once.
std::optional<StatementDestination> RelayGroup::peerDestination(const RelayJob& job, const TargetConfiguration& target, const std::set<TargetId>& tried)
{
    if (job.isForwarded)
        return std::nullopt;
    for (const auto& it : m_isFullMesh ? m_membership.rankedDaemonsFor(target) : m_membership.rankedDaemonsFor(m_id)) {
        if (auto destination = destinationAt(it, job, tried))
            return destination;
    }
    return std::nullopt;
}

// Prefers a home in this daemon's failure domain. It can run reads at a replica there, without traffic between domains.
std::optional<StatementDestination> RelayGroup::homeDestination(const RelayJob& job, const std::set<TargetId>& tried)
{
    const auto& homes = m_membership.rankedDaemonsFor(m_id);
    std::vector<CostedHome> candidates;
    for (size_t n = 0; n < homes.size(); ++n) {
        // Each daemon starts at a different home, so that homes of equal cost receive equal shares of the statements.
        auto destination = destinationAt(homes[(m_homeOffset + n) % homes.size()], job, tried);
        if (!destination)
            continue;
        const Milliseconds cost = costOfHome(job, *destination);
        candidates.push_back({ std::move(*destination), cost });
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(), [](const CostedHome& a, const CostedHome& b) { return a.cost < b.cost; });
    if (best == candidates.end())
        return std::nullopt;
    if (job.organisation.isEmpty())
        return std::move(best->destination);
    return preferredHome(job.organisation, candidates, *best);
}

// A home reuses a connection only for statements of the same organisation, so the daemons of a failure domain send the statements of one
// organisation to the same home. When that home is busy, its cost rises and further homes serve the organisation too.
StatementDestination RelayGroup::preferredHome(const OrganisationId& organisation, const std::vector<CostedHome>& homes, const CostedHome& best)
{
    const CostedHome* preferred = &best;
    size_t greatest = 0;
    for (const auto& it : homes) {
        const TargetConfiguration& home = it.destination.target->entry().target;
        const bool isSameDomain = home.failureDomain == best.destination.target->entry().target.failureDomain;
        const size_t weight = std::hash<std::string>()(organisation.value() + '\n' + home.id.value());
        if (!isSameDomain || it.cost > best.cost * aboutEqualCost || weight < greatest)
            continue;
        greatest = weight;
        preferred = &it;
    }
    return preferred->destination;
}

std::optional<StatementDestination> RelayGroup::destinationAt(const InstanceId& peer, const RelayJob& job, const std::set<TargetId>& tried)
{
    const InstanceEntry* entry = m_membership.find(peer);
    if (!entry || entry->port == 0 || peer == m_membership.self().instance || m_membership.isUnresponsive(peer))
        return std::nullopt;
    auto target = peerTarget(job.route->database, *entry);
    if (tried.count(target->entry().target.id) > 0 || target->experience().isAvoided(m_loop.now()))
        return std::nullopt;
    // The home requires this commit, or a later position of its own.
    return StatementDestination { std::move(target), job.requiredCommit(), false, peer };
}

std::shared_ptr<RelayTarget> RelayGroup::peerTarget(const DatabaseId& database, const InstanceEntry& peer)
{
    auto& target = m_peers[{ database, peer.instance }];
    const TargetAddress address { peer.host, peer.port };
    if (target && target->entry().target.address == address)
        return target;
    TargetEntry entry;
    entry.target = { TargetId("daemon " + peer.instance.value()), address, peer.failureDomain, GroupId(database.value()), true };
    target = std::make_shared<RelayTarget>(m_loop, m_connector, entry, std::hash<std::string>()(peer.instance.value()));
    target->setLimits(connectionsPerPeer, connectionsPerPeer);
    return target;
}

Milliseconds RelayGroup::retryAfter(const RelayTarget* target) const
{
    if (!mayUsePrimary())
        return failoverDuration;
    const Milliseconds delay = target ? target->expectedDelay(defaultDelay) : defaultDelay;
    return std::min(std::max(delay, minRetryAfter), failoverDuration);
}

void RelayGroup::reportPeer(const InstanceId& peer, bool hasAnswered)
{
    if (hasAnswered)
        m_membership.reportResponsive(peer);
    else
        m_membership.reportUnresponsive(peer);
}

bool RelayGroup::isHome() const
{
    return m_isFullMesh || m_membership.rankFor(m_id).has_value();
}

Milliseconds RelayGroup::costOfHome(const RelayJob& job, const StatementDestination& home) const
{
    const RelayTarget& target = *home.target;
    const double turns = 1 + static_cast<double>(target.waiting() + target.running()) / connectionsPerPeer;
    const Milliseconds cost = m_homeDelays.expectedDelay(job.kind(), home.peer, defaultDelay, m_loop.now()) * turns;
    return target.entry().target.failureDomain == m_membership.self().failureDomain ? cost : cost + crossDomainCost;
}

Milliseconds RelayGroup::costOf(RelayTarget& target, bool isPrimary) const
{
    Milliseconds cost = target.expectedDelay(defaultDelay);
    if (target.entry().target.failureDomain != m_membership.self().failureDomain)
        cost = cost + crossDomainCost;
    if (isPrimary)
        cost = cost + primaryCost;
    if (const FailureShare* failures = target.experience().failures())
        cost = cost + failureCost * failures->share(m_loop.now());
    // For reads, avoided targets rank behind all others, but are used when there is no other.
    constexpr Milliseconds avoidedCost { 100'000 };
    return target.experience().isAvoided(m_loop.now()) ? cost + avoidedCost : cost;
}

}
