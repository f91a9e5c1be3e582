#include "routing/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    constexpr double smoothingFactor = 0.1;
    /// Delays measured longer ago than this do not reflect the current load.
    constexpr Milliseconds delayLifetime { 3000 };
    constexpr double failureWeight = 0.2;
    /// A target counts as failing when its failure score rises above the first threshold, and as recovered when the score
    /// falls below the second one. Two thresholds prevent flapping.
    constexpr double failingThreshold = 0.5;
    constexpr double recoveryThreshold = 0.2;
    constexpr Milliseconds failureScoreDecayTime { 2000 };
    constexpr Milliseconds initialAvoidance { 100 };
    constexpr Milliseconds maxAvoidance { 1600 };
    constexpr uint32_t maxDoublings = 10;
    /// A replica is usually 20 to 90 ms behind. The time doubles while it stays behind.
    constexpr Milliseconds initialLag { 50 };

}

void TargetHealth::recordAnswer(Milliseconds delay, Instant now)
{
    m_answerCount = now - m_lastAnswerAt > delayLifetime ? 1 : m_answerCount + 1;
    m_lastAnswerAt = now;
    const double weight = std::max(1.0 / m_answerCount, smoothingFactor);
    m_delay += weight * (delay.count() - m_delay);
    if (m_failures)
        m_failures->recordAnswer(now);
    m_failureScore = failureScoreAt(now) * (1 - failureWeight);
    m_failureScoreUpdatedAt = now;
    if (m_failureScore >= recoveryThreshold)
        return;
    m_isFailing = false;
    m_avoidanceCount = 0;
}

void TargetHealth::recordBehind(Instant now)
{
    m_failureScore = failureScoreAt(now) + failureWeight * (1 - failureScoreAt(now));
    m_failureScoreUpdatedAt = now;
    m_isFailing = m_isFailing ? m_failureScore >= recoveryThreshold : m_failureScore > failingThreshold;
    if (m_isFailing && !isAvoided(now))
        startAvoidance(now);
}

void TargetHealth::recordUnreachable(Instant now)
{
    if (m_failures)
        m_failures->recordUnreachable(now);
    m_failureScore = 1;
    m_failureScoreUpdatedAt = now;
    m_isFailing = true;
    if (!isAvoided(now))
        startAvoidance(now);
}

void TargetHealth::recordLagging(const LogMark& mark, Instant now)
{
    if (m_failures)
        m_failures->recordAnswer(now);
    m_laggingMark = now < m_laggingUntil ? std::min(m_laggingMark, mark) : mark;
    const double doublings = std::min(m_lagCount++, maxDoublings);
    m_laggingUntil = now + std::min(initialLag * std::exp2(doublings), maxAvoidance);
}

void TargetHealth::recordApplied(const LogMark& mark)
{
    if (mark < m_laggingMark)
        return;
    m_laggingUntil = {};
    m_lagCount = 0;
}

bool TargetHealth::isBehind(const LogMark& mark, Instant now) const
{
    return now < m_laggingUntil && !(mark < m_laggingMark);
}

Milliseconds TargetHealth::expectedDelay(Milliseconds fallback, Instant now) const
{
    const bool isKnown = m_answerCount > 0 && now - m_lastAnswerAt <= delayLifetime;
    return isKnown ? Milliseconds(m_delay) : fallback;
}

double TargetHealth::failureScoreAt(Instant now) const
{
    return m_failureScore * std::exp(-(now - m_failureScoreUpdatedAt).count() / failureScoreDecayTime.count());
}

// The time doubles with each avoidance in a row, up to a maximum, so that failed requests to a target that does not
// recover become rarer.
void TargetHealth::startAvoidance(Instant now)
{
    const double doublings = std::min(m_avoidanceCount++, maxDoublings);
    m_avoidedUntil = now + std::min(initialAvoidance * std::exp2(doublings), maxAvoidance);
}

}
