#include "routing/FailureShare.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleypaddle {

namespace {

    /// One failure among answers does not make a target suspected, two in a row do, since a crash breaks all connections.
    constexpr double failureWeight = 0.25;
    constexpr double suspicionThreshold = 0.4;
    /// Answers in a row that end a suspicion: two, and one more for each failed attempt, up to the maximum. A target that fails 40%
    /// of its statements gives six in a row in one of twenty cases. Slow start takes some three answers more.
    constexpr uint32_t leastAnswers = 2;
    constexpr uint32_t mostAnswers = 6;
    /// The pause between attempts is divided by this for each answer in a row, so that a target that has recovered gives six answers
    /// within a third of the longest pause.
    constexpr double pauseDivisor = 4;
    /// A target that is avoided because of some failures gets reads again after some seconds.
    constexpr Milliseconds decayTime { 2000 };
    /// Pauses between attempts at a suspected target. Eight homes with the longest pause use less than a twentieth of a target that
    /// runs 4 statements of 12 ms at a time, and recovery is found within a second.
    constexpr Milliseconds firstPause { 100 };
    constexpr Milliseconds longestPause { 1000 };
    constexpr uint32_t maxDoublings = 10;
    /// Answers in a row after which the next failure is paused for like a first one.
    constexpr uint32_t reliableAnswers = 20;

}

FailureShare::FailureShare(uint64_t seed)
    : m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void FailureShare::recordAnswer(Instant now)
{
    m_share = share(now) * (1 - failureWeight);
    m_updatedAt = now;
    ++m_answersInRow;
    m_isProbing = false;
    if (m_isSuspected && m_answersInRow < std::min(leastAnswers + m_failedProbes, mostAnswers))
        return pause(now);
    m_isSuspected = false;
    if (m_answersInRow >= reliableAnswers)
        m_failedProbes = 0;
}

double FailureShare::share(Instant now) const
{
    return m_isSuspected ? m_share : m_share * std::exp(-(now - m_updatedAt).count() / decayTime.count());
}

void FailureShare::raise(Instant now)
{
    m_share = share(now) + failureWeight * (1 - share(now));
    m_updatedAt = now;
    m_answersInRow = 0;
}

void FailureShare::recordError(Instant now)
{
    if (m_isSuspected)
        return recordFailure(now);
    raise(now);
    m_share = std::min(m_share, suspicionThreshold);
}

void FailureShare::recordFailure(Instant now)
{
    raise(now);
    if (m_isSuspected || m_share > suspicionThreshold)
        suspect(now);
}

void FailureShare::recordUnreachable(Instant now)
{
    m_share = 1;
    m_updatedAt = now;
    m_answersInRow = 0;
    suspect(now);
}

// Statements that were in flight together fail together, which counts as one failed attempt.
void FailureShare::suspect(Instant now)
{
    if (isPaused(now) && !std::exchange(m_isProbing, false))
        return;
    m_isSuspected = true;
    pause(now);
    ++m_failedProbes;
}

void FailureShare::recordProbe(Instant now)
{
    if (!m_isSuspected)
        return;
    m_isProbing = true;
    m_nextProbeAt = now + longestPause;
}

void FailureShare::recordRefusal(Instant now)
{
    if (std::exchange(m_isProbing, false))
        pause(now);
}

void FailureShare::expectRecovery(Instant now)
{
    m_failedProbes = 0;
    m_nextProbeAt = std::min(m_nextProbeAt, now);
}

void FailureShare::pause(Instant now)
{
    const double doublings = std::min(m_failedProbes, maxDoublings);
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    const Milliseconds pause = std::min(firstPause * std::exp2(doublings), longestPause) * std::pow(pauseDivisor, -static_cast<double>(std::min(m_answersInRow, mostAnswers)));
    m_nextProbeAt = now + pause * jitter(m_random);
}

}
