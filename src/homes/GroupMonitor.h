#pragma once

#include "acknowledgement/GroupControl.h"
#include "homes/HomeSettings.h"
#include "membership/Membership.h"
#include "promotion/Promoter.h"

#include <map>
#include <memory>

namespace parsleypaddle {

/// The control connections of this daemon to the targets of one database group, and its rank among the group's watchers.
/// Watchers are the daemons that may promote another target to primary.
class GroupMonitor {
public:
    using Promoted = Promoter::PromotedCallback;

    GroupMonitor(EventLoop&, TargetConnector&, const Membership&, const GroupConfiguration&, const HomeSettings&);

    const GroupConfiguration& configuration() const { return m_configuration; }
    GroupControl& control() { return *m_control; }
    const GroupView& view() const { return m_control->view(); }

    /// Whether this daemon is one of the group's watchers.
    bool isWatcher() const { return m_rank.has_value(); }

    /// Records that a call for the group was received.
    void recordUse();

    /// Time since the last call for the group, or since construction when there was none.
    Milliseconds timeSinceLastUse() const;

    /// Prevents this daemon from starting promotions because of a failure. A promotion that is running or was already ordered
    /// by replaceLeavingPrimary() is not cancelled. Called when the group's targets changed, when the group was removed from the
    /// configuration, or when this daemon is not a watcher and received no call for the group for a while.
    void disablePromotion();

    /// Updates this daemon's rank among the watchers from the membership.
    void updateRank();
    void onPromoted(Promoted);

    /// Records which targets are leaving, that is, about to shut down. If the primary is one of them and this daemon has
    /// rank 0, orders a planned change of primary, at most once a second. Has to be called periodically.
    void replaceLeavingPrimary();

    /// When this daemon first found the target to be leaving; nullopt when the target is not leaving.
    std::optional<Instant> leavingSince(const TargetId&) const;

private:
    void updateLeavingTime(const TargetId&);

    EventLoop& m_loop;
    const Membership& m_membership;
    GroupConfiguration m_configuration;
    std::unique_ptr<GroupControl> m_control;
    std::unique_ptr<Promoter> m_promoter;
    std::optional<uint32_t> m_rank;
    Instant m_lastUsedAt;
    std::map<TargetId, Instant> m_leavingSince;
    std::optional<Instant> m_replacementOrderedAt;
};

}
