#include "routing/ReplicaProgress.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr double smoothingFactor = 0.3;
    constexpr double minApplyRate = 1e-6;
    /// Longest time over which a status is extrapolated.
    constexpr Milliseconds maxExtrapolation { 1000 };

}

void ReplicaProgress::update(const TargetView& view)
{
    if (view.lastAnswerAt <= m_lastView.lastAnswerAt)
        return;
    const double elapsed = (view.lastAnswerAt - m_lastView.lastAnswerAt).count();
    const bool isFirst = m_lastView.lastAnswerAt == Instant();
    if (!isFirst && view.status.applied >= m_lastView.status.applied) {
        const double rate = static_cast<double>(view.status.applied.value() - m_lastView.status.applied.value()) / elapsed;
        m_applyRate += smoothingFactor * (rate - m_applyRate);
        const double ageGrowth = (view.status.age - m_lastView.status.age).count() / elapsed;
        m_ageGrowth = std::clamp(ageGrowth, 0.0, 1.0);
    }
    m_lastView = view;
}

LogPosition ReplicaProgress::expectedPosition(Instant now) const
{
    const Milliseconds since = std::clamp(now - m_lastView.lastAnswerAt, Milliseconds(0), maxExtrapolation);
    return LogPosition(m_lastView.status.applied.value() + static_cast<uint64_t>(m_applyRate * since.count()));
}

Milliseconds ReplicaProgress::expectedAge(Instant now) const
{
    const Milliseconds since = std::max(now - m_lastView.lastAnswerAt, Milliseconds(0));
    // After the longest extrapolation nothing is known of the target's progress, so the age grows as if it applied nothing.
    const Milliseconds beyondExtrapolation = std::max(since - maxExtrapolation, Milliseconds(0));
    return m_lastView.status.age + std::min(since, maxExtrapolation) * m_ageGrowth + beyondExtrapolation;
}

std::optional<Milliseconds> ReplicaProgress::timeUntilApplied(LogPosition position, Instant now) const
{
    const LogPosition applied = expectedPosition(now);
    if (position <= applied)
        return Milliseconds(0);
    if (m_applyRate < minApplyRate)
        return std::nullopt;
    return Milliseconds(static_cast<double>(position.value() - applied.value()) / m_applyRate);
}

}
