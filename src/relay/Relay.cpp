#include "relay/Relay.h"

#include "directory/TargetList.h"
#include "relay/CallerSession.h"

#include <algorithm>
#include <utility>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds idleCheckInterval { 500 };
    /// Callers give up an attempt to open a session after two seconds, and need time for another one.
    constexpr Milliseconds maxRouteWait { 1000 };

}

Relay::Relay(EventLoop& loop, TargetConnector& connector, const PrimaryLease& lease, PrimaryObserver& observer, DecisionLog& log, Metrics& metrics, Membership& membership)
    : m_loop(loop)
    , m_connector(connector)
    , m_lease(lease)
    , m_observer(observer)
    , m_log(log)
    , m_metrics(metrics)
    , m_membership(membership)
{
    endIdleTransactions();
}

Relay::~Relay()
{
    m_loop.cancel(m_idleCheckTimer);
    m_loop.cancel(m_routeWaitTimer);
}

void Relay::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    if (m_routes && routes->version <= m_routes->version)
        return;
    m_routes = std::move(routes);
    m_identification.setOrganisations(m_routes->organisations);
    for (const auto& [group, limits] : m_routes->groups)
        findOrCreateGroup(group);
    setTargets(m_targets);
    applyConnectionShare();
    applyLeavingPrimaryUse();
    for (const auto& it : allSessions())
        it->checkKey();
    endRouteWaits(true);
}

RelayAnswer Relay::checkSession(const DatabaseId& database, const CallerKey& key, CallerKind kind) const
{
    const auto route = routeOf(database);
    if (!route)
        return refuseDatabase(database);
    RelayAnswer answer;
    if (kind == CallerKind::Peer)
        return answer;
    const StatementIdentity identity = m_identification.identify(key, *route);
    if (identity.error != RelayError::None)
        m_log.write("session_refused", { { "database", database.value() }, { "why", identity.why } });
    answer.error = identity.error;
    answer.errorText = identity.why;
    return answer;
}

RelayAnswer Relay::refuseDatabase(const DatabaseId& database) const
{
    const bool mayDeny = m_identification.mayDenyDatabase();
    RelayAnswer answer;
    answer.error = mayDeny ? RelayError::UnknownDatabase : RelayError::Busy;
    answer.errorText = mayDeny ? database.value() : "this daemon cannot confirm which databases exist now; come back in 1000 ms";
    return answer;
}

void Relay::awaitRoutes(std::function<void(bool areKnown)> done)
{
    if (m_routes)
        return done(true);
    m_routeWaits.push_back(std::move(done));
    if (m_routeWaitTimer == TimerId::None)
        m_routeWaitTimer = m_loop.after(maxRouteWait, [this] { endRouteWaits(false); });
}

void Relay::endRouteWaits(bool areKnown)
{
    m_loop.cancel(std::exchange(m_routeWaitTimer, TimerId::None));
    for (const auto& it : std::exchange(m_routeWaits, {}))
        it(areKnown);
}

void Relay::setTargets(std::vector<TargetEntry> targets)
{
    m_targets = std::move(targets);
    std::map<GroupId, std::vector<TargetEntry>> byGroup;
    for (const auto& it : m_targets)
        byGroup[it.target.group].push_back(it);
    for (auto& [id, group] : m_groups)
        group->setTargets(std::move(byGroup[id]));
}

void Relay::setPrimary(const GroupId& group, const PrimaryView& belief)
{
    findOrCreateGroup(group).setPrimary(belief);
}

void Relay::setConnectionShare(double share)
{
    m_share = share;
    applyConnectionShare();
}

std::shared_ptr<const Route> Relay::routeOf(const DatabaseId& database) const
{
    if (!m_routes)
        return nullptr;
    auto it = m_routes->routes.find(database);
    return it == m_routes->routes.end() ? nullptr : it->second;
}

RelayGroup* Relay::findGroup(const GroupId& group)
{
    auto it = m_groups.find(group);
    return it == m_groups.end() ? nullptr : it->second.get();
}

std::optional<uint32_t> Relay::synchronousReplicasOf(const GroupId& group) const
{
    if (!m_routes)
        return std::nullopt;
    const auto it = m_routes->groups.find(group);
    return it == m_routes->groups.end() ? 0 : it->second.synchronousReplicas;
}

RelayGroup& Relay::findOrCreateGroup(const GroupId& group)
{
    auto& slot = m_groups[group];
    if (!slot)
        slot = std::make_unique<RelayGroup>(m_loop, m_connector, m_lease, m_observer, m_log, m_metrics, m_membership, group);
    return *slot;
}

void Relay::applyConnectionShare()
{
    if (!m_routes)
        return;
    for (const auto& [group, limits] : m_routes->groups)
        findOrCreateGroup(group).setConnectionLimit(limits.connections, m_share);
}

void Relay::setMaxLeavingTargetUse(Milliseconds maxUse)
{
    m_maxLeavingTargetUse = maxUse;
    if (m_routes)
        applyLeavingPrimaryUse();
}

// A leaving primary is replaced at once where the most complete replica may be promoted. Where a replica has to have every commit, that may
// take longer.
void Relay::applyLeavingPrimaryUse()
{
    for (const auto& [group, limits] : m_routes->groups) {
        const bool isLong = limits.synchronousReplicas > 0 && m_maxLeavingTargetUse > Milliseconds(0);
        findOrCreateGroup(group).setLeavingPrimaryUse(isLong ? TargetList::gracePeriodFor(m_maxLeavingTargetUse) : Milliseconds(0));
    }
}

void Relay::run(RelayJob job)
{
    RelayGroup& group = findOrCreateGroup(job.route->group);
    group.run(std::move(job));
}

void Relay::addSession(const std::shared_ptr<CallerSession>& session)
{
    m_sessions.emplace(session.get(), session);
}

void Relay::removeSession(CallerSession& session)
{
    m_sessions.erase(&session);
}

std::vector<std::shared_ptr<CallerSession>> Relay::allSessions() const
{
    std::vector<std::shared_ptr<CallerSession>> sessions;
    for (const auto& [key, weak] : m_sessions) {
        if (auto session = weak.lock())
            sessions.push_back(std::move(session));
    }
    return sessions;
}

void Relay::endIdleTransactions()
{
    m_idleCheckTimer = m_loop.after(idleCheckInterval, [this] { endIdleTransactions(); });
    for (const auto& it : allSessions())
        it->endIdleTransaction();
}

}
