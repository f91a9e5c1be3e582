#include "promotion/FailureDetector.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds longestEvidenceLimit { 600'000 };

}

FailureDetector::FailureDetector(const PromoterSettings& settings)
    : m_settings(settings)
    , m_evidenceLimit(settings.replicaEvidence)
{
}

std::optional<FailureDetector::Finding> FailureDetector::examine(const GroupView& view, Instant now)
{
    const auto cause = causeIn(view, now);
    if (!cause) {
        m_state.reset();
        return std::nullopt;
    }
    if (!m_state || m_state->finding.cause != *cause)
        m_state = State { { *cause, now }, now, false };
    if (!m_state->isRipe && isRipe(view, now)) {
        m_state->isRipe = true;
        m_state->finding.since = now;
    }
    return m_state->isRipe ? std::optional<Finding>(m_state->finding) : std::nullopt;
}

// Silence has lasted for the detection time already; the other states must last as long to count. Where replicas hear
// a primary that is out of reach from here, a change seldom helps, so each one that is made all the same doubles the
// time until the next: two sides of a cut would otherwise move the primary to and fro.
bool FailureDetector::isRipe(const GroupView& view, Instant now)
{
    const Milliseconds lasted = now - m_state->seenAt;
    if (m_state->finding.cause != PromotionCause::PrimarySilent && lasted < m_settings.detection)
        return false;
    if (m_state->finding.cause == PromotionCause::TargetStranded || !hasReplicaHeardPrimary(view, now))
        return true;
    if (lasted < m_evidenceLimit)
        return false;
    m_evidenceLimit = std::min(m_evidenceLimit * 2, longestEvidenceLimit);
    return true;
}

std::optional<PromotionCause> FailureDetector::causeIn(const GroupView& view, Instant now) const
{
    if (!isMajorityHeard(view, now))
        return std::nullopt;
    if (view.primary.isEmpty())
        return PromotionCause::NoPrimary;
    if (isPrimarySilent(view, now))
        return PromotionCause::PrimarySilent;
    if (isTargetStranded(view, now))
        return PromotionCause::TargetStranded;
    return std::nullopt;
}

bool FailureDetector::isMajorityHeard(const GroupView& view, Instant now) const
{
    const auto n = std::count_if(view.targets.begin(), view.targets.end(), [this, now](const TargetView& it) {
        return it.heardAt > Instant() && now - it.heardAt < m_settings.detection;
    });
    return static_cast<size_t>(n) >= view.targets.size() / 2 + 1;
}

bool FailureDetector::isPrimarySilent(const GroupView& view, Instant now) const
{
    const TargetView* primary = view.find(view.primary);
    return primary->isSuspect && now - primary->heardAt >= m_settings.detection;
}

// A replica that was level with a primary lately has heard from it, so that only the way from here is broken. A
// replica that lags says nothing about the primary.
bool FailureDetector::hasReplicaHeardPrimary(const GroupView& view, Instant now) const
{
    return std::any_of(view.targets.begin(), view.targets.end(), [&](const TargetView& it) {
        const bool isReplica = it.heardAt > Instant() && it.status.role == TargetRole::Replica;
        return isReplica && now - it.heardAt + it.status.age < m_settings.detection;
    });
}

bool FailureDetector::isTargetStranded(const GroupView& view, Instant now) const
{
    return std::any_of(view.targets.begin(), view.targets.end(), [&](const TargetView& it) {
        return it.status.term > view.term && now - it.heardAt < m_settings.detection;
    });
}

}
