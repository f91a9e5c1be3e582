#pragma once

#include "homes/GroupMonitor.h"
#include "homes/HomeCall.h"
#include "homes/TargetHome.h"

#include <map>

namespace parsleypaddle {

/// Runs the calls for the targets that this daemon serves as their home. A TargetHome queues and runs the requests to one
/// target. A GroupMonitor holds the control connections to a group's targets and, if this daemon is one of the group's
/// watchers, may promote another target to primary.
class HomeService {
public:
    using Done = HomeClient::Done;
    using Promoted = Promoter::PromotedCallback;

    HomeService(EventLoop&, TargetConnector&, const Membership&, const HomeSettings&);
    ~HomeService();

    /// Applies the groups, limits and policies of a configuration. Groups that were removed or whose targets changed are
    /// retired: they receive no more calls, finish the queued and running ones and roll back their transactions after the idle
    /// timeout.
    void setConfiguration(std::shared_ptr<const Configuration>);

    /// Updates this daemon's ranks, its connection shares and the groups that it watches after a change of the membership.
    void updateMembership();

    /// Runs a call for a target. Answers UnknownDatabase when the configuration has no such database or target, and NotHome
    /// when this daemon is not one of the target's homes. Calls in a transaction are not checked for NotHome if this daemon
    /// already has a TargetHome for the target, because it may hold the transaction.
    void execute(const HomeCall&, Done);

    /// The view of a group that this daemon watches or recently received a call for; nullptr for other groups.
    const GroupView* viewOf(const DatabaseId&) const;

    void onPromoted(Promoted promoted) { m_promoted = std::move(promoted); }
    void onWorkDone(TargetHome::Observer observer) { m_observer = std::move(observer); }

    /// Whether every Read, Write and Settle call was answered and no transaction is open. PrimaryPosition calls and retired
    /// homes are not considered.
    bool isIdle() const;

    /// The homes in use, for metrics; retired ones are not included.
    const std::map<TargetId, std::unique_ptr<TargetHome>>& targetHomes() const { return m_targetHomes; }

private:
    struct TargetAndGroup {
        const GroupConfiguration* group { nullptr };
        const TargetConfiguration* target { nullptr };
    };

    TargetAndGroup findTarget(const DatabaseId&, const TargetId&) const;
    GroupMonitor& groupMonitor(const GroupConfiguration&);
    TargetHome& targetHome(const TargetAndGroup&);
    void retireChanged();
    void retireUnused();
    using GroupMonitors = std::map<DatabaseId, std::unique_ptr<GroupMonitor>>;
    GroupMonitors::iterator retire(GroupMonitors::iterator);
    void queryPrimaryPosition(const HomeCall&, GroupMonitor&, Done);
    static void refuse(const HomeCall&, const absl::Status&, const GroupView*, const Done&);
    void runMaintenance();

    EventLoop& m_loop;
    TargetConnector& m_connector;
    const Membership& m_membership;
    HomeSettings m_settings;
    Instant m_startedAt;
    std::shared_ptr<const Configuration> m_configuration;
    GroupMonitors m_groupMonitors;
    std::map<TargetId, std::unique_ptr<TargetHome>> m_targetHomes;
    /// Monitors and homes of groups that were changed, removed or unused, kept until the homes have no unanswered calls and
    /// no open transactions.
    std::vector<std::pair<std::unique_ptr<GroupMonitor>, std::vector<std::unique_ptr<TargetHome>>>> m_retired;
    Promoted m_promoted;
    TargetHome::Observer m_observer;
    Instant m_nextUnusedCheck;
    TimerId m_maintenanceTimer { TimerId::None };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
