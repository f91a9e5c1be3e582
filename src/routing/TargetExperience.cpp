#include "routing/TargetExperience.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    constexpr double newestWeight = 0.1;
    /// Delays older than this say nothing of the load now.
    constexpr Milliseconds memory { 3000 };
    constexpr double troubleWeight = 0.2;
    /// Avoided from the upper mark on, trusted again below the lower one, so that it does not flap between.
    constexpr double avoidAbove = 0.5;
    constexpr double trustBelow = 0.2;
    constexpr Milliseconds troubleFade { 2000 };
    constexpr Milliseconds firstPause { 100 };
    constexpr Milliseconds longestPause { 1600 };
    constexpr uint32_t mostDoublings = 10;

}

void TargetExperience::succeeded(Milliseconds took, Instant now)
{
    m_answers = now - m_lastAnswer > memory ? 1 : m_answers + 1;
    m_lastAnswer = now;
    const double weight = std::max(1.0 / m_answers, newestWeight);
    m_delay += weight * (took.count() - m_delay);
    m_trouble = troubleAt(now) * (1 - troubleWeight);
    m_troubleAt = now;
    if (m_trouble >= trustBelow)
        return;
    m_isTroubled = false;
    m_avoidances = 0;
}

void TargetExperience::wasBehind(Instant now)
{
    m_trouble = troubleAt(now) + troubleWeight * (1 - troubleAt(now));
    m_troubleAt = now;
    m_isTroubled = m_isTroubled ? m_trouble >= trustBelow : m_trouble > avoidAbove;
    if (m_isTroubled && !isAvoided(now))
        avoid(now);
}

void TargetExperience::wasUnreachable(Instant now)
{
    m_trouble = 1;
    m_troubleAt = now;
    m_isTroubled = true;
    if (!isAvoided(now))
        avoid(now);
}

Milliseconds TargetExperience::expectedDelay(Milliseconds fallback, Instant now) const
{
    const bool isKnown = m_answers > 0 && now - m_lastAnswer <= memory;
    return isKnown ? Milliseconds(m_delay) : fallback;
}

double TargetExperience::troubleAt(Instant now) const
{
    return m_trouble * std::exp(-(now - m_troubleAt).count() / troubleFade.count());
}

// Each pause in a row is longer: a target that stays behind costs a failed attempt ever more rarely.
void TargetExperience::avoid(Instant now)
{
    const double doublings = std::min(m_avoidances++, mostDoublings);
    m_avoidedUntil = now + std::min(firstPause * std::exp2(doublings), longestPause);
}

}
