#include "homes/GroupMonitor.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds replacementRetryInterval { 1000 };
    /// The heartbeat interval doubles with each rank up to this one. Daemons with a higher rank or none use the interval of
    /// this rank.
    constexpr uint32_t slowestHeartbeatRank = 2;

}

GroupMonitor::GroupMonitor(EventLoop& loop, TargetConnector& connector, const Membership& membership, const GroupConfiguration& group, const HomeSettings& settings)
    : m_loop(loop)
    , m_membership(membership)
    , m_configuration(group)
    , m_control(GroupControl::create(loop, connector, group, settings.control))
    , m_promoter(Promoter::create(loop, *m_control, group, settings.promoter))
{
    recordUse();
    updateRank();
}

void GroupMonitor::updateRank()
{
    const auto watchers = m_membership.watchersOf(m_configuration);
    auto it = std::find(watchers.begin(), watchers.end(), m_membership.self().instance);
    m_rank.reset();
    if (it != watchers.end())
        m_rank = static_cast<uint32_t>(it - watchers.begin());
    m_promoter->setRank(m_rank);
    m_control->setHeartbeatFactor(1U << std::min(m_rank.value_or(slowestHeartbeatRank), slowestHeartbeatRank));
}

void GroupMonitor::recordUse()
{
    m_lastUsedAt = m_loop.now();
}

Milliseconds GroupMonitor::timeSinceLastUse() const
{
    return m_loop.now() - m_lastUsedAt;
}

void GroupMonitor::disablePromotion()
{
    m_rank.reset();
    m_promoter->setRank(m_rank);
}

void GroupMonitor::onPromoted(Promoted promoted)
{
    m_promoter->onPromoted(std::move(promoted));
}

void GroupMonitor::replaceLeavingPrimary()
{
    for (const auto& it : m_configuration.targets)
        updateLeavingTime(it.id);
    const bool isPrimaryLeaving = leavingSince(view().primary).has_value();
    if (!isPrimaryLeaving || m_rank != 0U) {
        m_replacementOrderedAt.reset();
        return;
    }
    if (m_replacementOrderedAt && m_loop.now() - *m_replacementOrderedAt < replacementRetryInterval)
        return;
    m_replacementOrderedAt = m_loop.now();
    m_promoter->replacePrimary();
}

std::optional<Instant> GroupMonitor::leavingSince(const TargetId& target) const
{
    auto it = m_leavingSince.find(target);
    if (it == m_leavingSince.end())
        return std::nullopt;
    return it->second;
}

// The target's own status is used too, because the platform's list is updated with a delay.
void GroupMonitor::updateLeavingTime(const TargetId& target)
{
    const TargetView* targetView = view().find(target);
    const bool isLeaving = m_membership.isLeaving(target) || (targetView && targetView->status.isLeaving);
    if (isLeaving)
        m_leavingSince.emplace(target, m_loop.now());
    else
        m_leavingSince.erase(target);
}

}
