#include "promotion/FailureDetector.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds maximumReachablePrimaryHoldOff { 600'000 };

}

FailureDetector::FailureDetector(const PromoterSettings& settings)
    : m_settings(settings)
    , m_reachablePrimaryHoldOff(settings.reachablePrimaryHoldOff)
{
}

std::optional<FailureDetector::DueChange> FailureDetector::evaluate(const GroupView& view, Instant now)
{
    const auto cause = causeIn(view, now);
    if (!cause) {
        m_state.reset();
        return std::nullopt;
    }
    if (!m_state || m_state->change.cause != *cause)
        m_state = State { { *cause, now }, now, false };
    if (!m_state->isDue && checkDue(view, now)) {
        m_state->isDue = true;
        m_state->change.dueSince = now;
    }
    return m_state->isDue ? std::optional<DueChange>(m_state->change) : std::nullopt;
}

// A silent primary has not answered for the detection time already; the other causes must last that long before a change
// is due. While a replica still reaches a primary that this daemon cannot reach, a change seldom helps, so it becomes due
// only after the hold-off, and the hold-off doubles each time it has elapsed. Otherwise daemons on the two sides of a
// network partition would keep moving the primary back and forth. A change for a target on a later term is not held off.
bool FailureDetector::checkDue(const GroupView& view, Instant now)
{
    const Milliseconds lasted = now - m_state->firstSeenAt;
    if (m_state->change.cause != PromotionCause::PrimarySilent && lasted < m_settings.detectionTime)
        return false;
    if (m_state->change.cause == PromotionCause::TargetOnLaterTerm || !hasReplicaReachedPrimary(view, now))
        return true;
    if (lasted < m_reachablePrimaryHoldOff)
        return false;
    m_reachablePrimaryHoldOff = std::min(m_reachablePrimaryHoldOff * 2, maximumReachablePrimaryHoldOff);
    return true;
}

std::optional<PromotionCause> FailureDetector::causeIn(const GroupView& view, Instant now) const
{
    if (!isMajorityAnswering(view, now))
        return std::nullopt;
    if (view.primary.isEmpty())
        return PromotionCause::NoPrimary;
    if (isPrimarySilent(view, now))
        return PromotionCause::PrimarySilent;
    if (hasTargetOnLaterTerm(view, now))
        return PromotionCause::TargetOnLaterTerm;
    return std::nullopt;
}

bool FailureDetector::isMajorityAnswering(const GroupView& view, Instant now) const
{
    const auto n = std::count_if(view.targets.begin(), view.targets.end(), [this, now](const TargetView& it) {
        return it.lastAnswerAt > Instant() && now - it.lastAnswerAt < m_settings.detectionTime;
    });
    return static_cast<size_t>(n) >= view.targets.size() / 2 + 1;
}

bool FailureDetector::isPrimarySilent(const GroupView& view, Instant now) const
{
    const TargetView* primary = view.find(view.primary);
    return primary->isSuspect && now - primary->lastAnswerAt >= m_settings.detectionTime;
}

// A replica that was up to date less than the detection time ago was in contact with the primary then, so probably only
// the network path from this daemon to the primary is broken. A replica that lags shows nothing about the primary.
bool FailureDetector::hasReplicaReachedPrimary(const GroupView& view, Instant now) const
{
    return std::any_of(view.targets.begin(), view.targets.end(), [&](const TargetView& it) {
        const bool isReplica = it.lastAnswerAt > Instant() && it.status.role == TargetRole::Replica;
        return isReplica && now - it.lastAnswerAt + it.status.age < m_settings.detectionTime;
    });
}

bool FailureDetector::hasTargetOnLaterTerm(const GroupView& view, Instant now) const
{
    return std::any_of(view.targets.begin(), view.targets.end(), [&](const TargetView& it) {
        return it.status.term > view.term && now - it.lastAnswerAt < m_settings.detectionTime;
    });
}

}
