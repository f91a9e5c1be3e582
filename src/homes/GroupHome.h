#pragma once

#include "acknowledgement/GroupControl.h"
#include "homes/HomeSettings.h"
#include "membership/Membership.h"
#include "promotion/Promoter.h"

#include <map>
#include <memory>

namespace parsleypaddle {

/// One daemon's part in a database group: its control connections, and its rank among those that may change the primary.
class GroupHome {
public:
    using Promoted = Promoter::Promoted;

    GroupHome(EventLoop&, TargetConnector&, const Membership&, const GroupConfiguration&, const HomeSettings&);

    const GroupConfiguration& configuration() const { return m_configuration; }
    GroupControl& control() { return *m_control; }
    const GroupView& view() const { return m_control->view(); }

    /// Whether this daemon is among those that may change the group's primary.
    bool isWatcher() const { return m_rank.has_value(); }

    /// Notes a call for the group, and tells how long ago the last one was.
    void touch();
    Milliseconds unusedFor() const;

    /// Changes no primary any more: for a group that was changed or is left to others.
    void standDown();

    /// Takes up this daemon's rank as the membership now gives it.
    void updateRank();
    void onPromoted(Promoted);

    /// Orders a planned change if the primary is leaving, and notes leaving targets. Called now and then.
    void checkLeaving();

    /// Since when the target is known to be leaving; nullopt when it is not.
    std::optional<Instant> leavingSince(const TargetId&) const;

private:
    void noteLeaving(const TargetId&);

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
