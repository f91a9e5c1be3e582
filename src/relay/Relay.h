#pragma once

#include "directory/RouteTable.h"
#include "directory/TargetEntry.h"
#include "quotas/OperationQuota.h"
#include "relay/CallerIdentification.h"
#include "relay/RelayGroup.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace parsleypaddle {

class CallerSession;
enum class CallerKind : uint8_t;

/// Routes the statements of one daemon's callers to database groups, according to the route table in force.
class Relay {
public:
    Relay(EventLoop&, TargetConnector&, const PrimaryLease&, PrimaryObserver&, DecisionLog&, Metrics&, Membership&);
    ~Relay();

    /// Applies the routes if their version is higher than that of the routes in force; ignores them otherwise. Ends the sessions whose
    /// keys are not in them.
    void setRoutes(std::shared_ptr<const RouteTable>);
    void setTargets(std::vector<TargetEntry>);
    void setPrimary(const GroupId&, const PrimaryView&);
    /// Sets this daemon's share of the connections to each target, between 0 and 1; see RelayGroup::setConnectionLimit().
    void setConnectionShare(double);

    bool hasRoutes() const { return m_routes != nullptr; }
    /// Calls `done` once the routes are known, or after a second without them. A daemon that has just started does not know
    /// which databases exist, so it must not deny one.
    void awaitRoutes(std::function<void(bool areKnown)> done);
    const RouteTable* routes() const { return m_routes.get(); }
    std::shared_ptr<const Route> routeOf(const DatabaseId&) const;
    /// The answer for a database without a route: UnknownDatabase, or Busy while the configuration is not confirmed.
    RelayAnswer refuseDatabase(const DatabaseId&) const;
    /// How long an open transaction may stay idle before it is rolled back.
    Milliseconds transactionIdleTimeout() const { return m_routes->transactionIdleTimeout; }
    RelayGroup* findGroup(const GroupId&);
    /// In how many replicas a commit of the group is before its primary acknowledges it; unset while the routes are not known.
    std::optional<uint32_t> synchronousReplicasOf(const GroupId&) const;
    /// Sets for how long a target may get new work after the platform has listed it as leaving; 0 if that is not known.
    void setMaxLeavingTargetUse(Milliseconds);

    /// Decides in whose name statements run.
    CallerIdentification& identification() { return m_identification; }
    /// Sets the limits of organisations' operations; null, the default, admits every operation. The object must outlive this one.
    void setQuota(OperationQuota* quota) { m_quota = quota; }
    OperationQuota* quota() const { return m_quota; }
    /// Checks whether a caller or a daemon may open a session, and logs a refusal of its key. None if it may.
    RelayAnswer checkSession(const DatabaseId&, const CallerKey&, CallerKind) const;

    void run(RelayJob);
    RelayGroup& findOrCreateGroup(const GroupId&);

    void addSession(const std::shared_ptr<CallerSession>&);
    void removeSession(CallerSession&);
    size_t sessions() const { return m_sessions.size(); }
    std::vector<std::shared_ptr<CallerSession>> allSessions() const;

    Instant now() const { return m_loop.now(); }
    DecisionLog& log() { return m_log; }

private:
    void applyConnectionShare();
    void applyLeavingPrimaryUse();
    void endIdleTransactions();
    void endRouteWaits(bool areKnown);

    EventLoop& m_loop;
    TargetConnector& m_connector;
    const PrimaryLease& m_lease;
    PrimaryObserver& m_observer;
    DecisionLog& m_log;
    Metrics& m_metrics;
    Membership& m_membership;
    std::shared_ptr<const RouteTable> m_routes;
    CallerIdentification m_identification;
    std::vector<TargetEntry> m_targets;
    OperationQuota* m_quota { nullptr };
    double m_share { 1 };
    Milliseconds m_maxLeavingTargetUse;
    std::map<GroupId, std::unique_ptr<RelayGroup>> m_groups;
    std::unordered_map<CallerSession*, std::weak_ptr<CallerSession>> m_sessions;
    TimerId m_idleCheckTimer { TimerId::None };
    /// What waits for the first routes.
    std::vector<std::function<void(bool)>> m_routeWaits;
    TimerId m_routeWaitTimer { TimerId::None };
};

}
