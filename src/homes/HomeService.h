#pragma once

#include "homes/GroupHome.h"
#include "homes/HomeCall.h"
#include "homes/TargetHome.h"

#include <map>

namespace parsleypaddle {

/// All targets for which this daemon acts as a home, and all groups that it watches.
class HomeService {
public:
    using Done = HomePort::Done;
    using Promoted = Promoter::Promoted;

    HomeService(EventLoop&, TargetConnector&, const Membership&, const HomeSettings&);
    ~HomeService();

    /// Takes up the groups, limits and policies of a configuration.
    void setConfiguration(std::shared_ptr<const Configuration>);

    /// Takes up a changed membership: ranks, shares, groups to watch.
    void updateMembership();

    /// Carries out a call for a target. NotHome when this daemon is too far down the target's ranking.
    void handle(const HomeCall&, Done);

    /// The view of a group that this daemon watches or serves; nullptr otherwise.
    const GroupView* viewOf(const DatabaseId&) const;

    void onPromoted(Promoted promoted) { m_promoted = std::move(promoted); }
    void onWorkDone(TargetHome::Observer observer) { m_observer = std::move(observer); }

    /// Whether no call is under way and no transaction is open.
    bool isIdle() const;

    /// The homes in use, for status pages.
    const std::map<TargetId, std::unique_ptr<TargetHome>>& targetHomes() const { return m_targetHomes; }

private:
    struct Located {
        const GroupConfiguration* group { nullptr };
        const TargetConfiguration* target { nullptr };
    };

    Located locate(const DatabaseId&, const TargetId&) const;
    GroupHome& groupHome(const GroupConfiguration&);
    TargetHome& targetHome(const Located&);
    void retireChanged();
    void releaseUnused();
    using GroupHomes = std::map<DatabaseId, std::unique_ptr<GroupHome>>;
    GroupHomes::iterator retire(GroupHomes::iterator);
    void askPosition(const HomeCall&, GroupHome&, Done);
    static void refuse(const HomeCall&, const absl::Status&, const GroupView*, const Done&);
    void tidy();

    EventLoop& m_loop;
    TargetConnector& m_connector;
    const Membership& m_membership;
    HomeSettings m_settings;
    Instant m_startedAt;
    std::shared_ptr<const Configuration> m_configuration;
    GroupHomes m_groupHomes;
    std::map<TargetId, std::unique_ptr<TargetHome>> m_targetHomes;
    /// Homes of groups that were changed or removed, kept until their work has ended.
    std::vector<std::pair<std::unique_ptr<GroupHome>, std::vector<std::unique_ptr<TargetHome>>>> m_retired;
    Promoted m_promoted;
    TargetHome::Observer m_observer;
    Instant m_nextRelease;
    TimerId m_tidyTimer { TimerId::None };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
