#include "scheduling/ConcurrencyLimit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace parsleypaddle {

namespace {

    /// Weight of one answer in the average ratio. Latencies vary by a factor of 2 and 3% are 7 times longer, so the average of about
    /// eight answers stays below `beyondShare.shrink` without queueing.
    constexpr double sampleWeight = 0.125;
    /// Answers after a change of the limit before latency may shrink it.
    constexpr uint32_t minSamples = 4;
    /// A single answer counts as at most this many times the usual latency.
    constexpr double greatestRatio = 12;
    /// Ratios of latency above which a limit shrinks, and up to which it grows. Without queueing the ratio is about 1.25, because the
    /// usual latency is the lowest average.
    struct Tolerance {
        double grow;
        double shrink;
    };
    /// Eight homes that all use their shares send four statements for each slot, so latencies are four to five times the usual ones.
    /// If single homes shrank at less, they would divide a full target unequally. At a ratio of 6, a statement of 33 ms takes the
    /// callers' whole objective of 200 ms at the target.
    constexpr Tolerance withinShare { 4, 6 };
    /// Beyond its share, a home uses what others leave, so statements must hardly wait.
    constexpr Tolerance beyondShare { 1.5, 2 };
    /// An answer in slow start is good up to this ratio, which homes at their shares cause.
    constexpr double slowRatio = 4;
    /// Weight of an answer in the average latency of its kind. The usual latency is the lowest average: where a statement's latency
    /// varies by a factor of 2, it is a quarter below the mean.
    constexpr double kindWeight = 1.0 / 16;
    /// The usual latency at most doubles in this time, so that it does not come to include the queue within a burst or a fault, which
    /// last some seconds.
    constexpr Milliseconds usualDoublingTime { 60'000 };
    /// Statements run in an order that the home does not choose once they are sent, so a refusal halves the limit.
    constexpr double busyFactor = 0.5;
    constexpr double failureFactor = 0.5;
    constexpr double latencyFactor = 0.7;
    /// Answers while the limit was not in use before the limit may exceed the share: a home that starts during an overload takes the
    /// latency of a full target for the usual one.
    constexpr uint32_t minUnloadedAnswers = 16;
    /// Kinds are few: routes of the group, each with and without transactions and writes.
    constexpr size_t maxKinds = 256;

}

const char* nameOf(PaceReason reason)
{
    static constexpr std::array<const char*, 7> names { "started", "recovered", "primary changed", "reached share", "latency", "busy", "failures" };
    return names[static_cast<size_t>(reason)];
}

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyBounds& bounds)
    : m_bounds(bounds)
    , m_change(PaceReason::Started)
{
}

void ConcurrencyLimit::setBounds(const ConcurrencyBounds& bounds)
{
    m_bounds = bounds;
    m_limit = std::clamp(m_limit, 1.0, static_cast<double>(std::max(1U, m_bounds.greatest)));
}

void ConcurrencyLimit::begin(PaceReason reason)
{
    m_phase = PacePhase::SlowStart;
    m_limit = 1;
    m_excess = 0;
    m_samples = 0;
    m_answersAtLimit = 0;
    m_hasReportedShrinking = false;
    m_change = reason;
}

void ConcurrencyLimit::suspect()
{
    if (m_phase == PacePhase::Suspected)
        return;
    m_phase = PacePhase::Suspected;
    m_limit = 1;
    m_change = PaceReason::Failures;
}

uint32_t ConcurrencyLimit::limit() const
{
    return static_cast<uint32_t>(m_limit);
}

double ConcurrencyLimit::latencyRatio() const
{
    return std::exp(m_excess);
}

std::optional<PaceReason> ConcurrencyLimit::takeChange()
{
    return std::exchange(m_change, std::nullopt);
}

void ConcurrencyLimit::recordAnswer(const AnsweredStatement& answer, Instant now)
{
    const double ratio = compare(answer, now);
    ++m_samples;
    ++m_answersAtLimit;
    m_unloadedAnswers += answer.wasLimitInUse ? 0 : 1;
    m_excess += std::max(sampleWeight, 1.0 / m_samples) * (ratio - m_excess);
    if (m_phase == PacePhase::Suspected)
        return;
    const bool isBeyondShare = limit() > m_bounds.share;
    const double tolerated = isBeyondShare ? beyondShare.shrink : withinShare.shrink;
    const bool isQueueing = m_answersAtLimit >= minSamples && m_excess > std::log(tolerated);
    // Statements that were sent before the limit shrank say nothing of the smaller limit.
    if (isQueueing && now - answer.latency >= m_shrunkAt)
        return shrink(latencyFactor, PaceReason::Latency, now);
    grow(answer, ratio > std::log(slowRatio));
}

double ConcurrencyLimit::compare(const AnsweredStatement& answer, Instant now)
{
    if (m_kinds.size() >= maxKinds && m_kinds.count(answer.kind) == 0)
        m_kinds.clear();
    KindLatency& kind = m_kinds[answer.kind];
    const double logarithm = std::log(std::max(answer.latency.count(), 0.1));
    const double greatest = std::log(greatestRatio);
    ++kind.count;
    if (kind.count == 1)
        kind.average = kind.usual = logarithm;
    kind.average += std::max(kindWeight, 1.0 / kind.count) * std::min(logarithm - kind.average, greatest);
    const bool isKnown = kind.count > minSamples;
    const double risen = kind.usual + std::log(2) * (now - kind.updatedAt).count() / usualDoublingTime.count();
    kind.usual = isKnown ? std::min(kind.average, risen) : kind.average;
    kind.updatedAt = now;
    return std::clamp(logarithm - kind.usual, -greatest, greatest);
}

void ConcurrencyLimit::grow(const AnsweredStatement& answer, bool isSlow)
{
    const double greatest = std::max(1U, m_bounds.greatest);
    if (m_phase == PacePhase::SlowStart) {
        if (isSlow)
            return;
        const double share = std::min(greatest, static_cast<double>(m_bounds.share));
        m_limit = std::max(m_limit, std::min(m_limit + 1, share));
        if (m_limit < share)
            return;
        m_phase = PacePhase::Steady;
        m_change = PaceReason::ReachedShare;
        return;
    }
    const bool isBeyondShare = m_limit + 1 / m_limit > m_bounds.share;
    const double tolerated = isBeyondShare ? beyondShare.grow : withinShare.grow;
    const bool hasEvidence = !isBeyondShare || (m_answersAtLimit >= minSamples && m_unloadedAnswers >= minUnloadedAnswers);
    if (!answer.wasLimitInUse || m_excess > std::log(tolerated) || !hasEvidence)
        return;
    m_limit = std::min(greatest, m_limit + 1 / m_limit);
    m_hasReportedShrinking = m_hasReportedShrinking && m_limit < m_bounds.share;
}

void ConcurrencyLimit::recordBusy(Instant sentAt, Instant now)
{
    if (m_phase != PacePhase::Suspected && sentAt >= m_shrunkAt)
        shrink(busyFactor, PaceReason::Busy, now);
}

void ConcurrencyLimit::recordFailure(Instant sentAt, Instant now)
{
    if (m_phase != PacePhase::Suspected && sentAt >= m_shrunkAt)
        shrink(failureFactor, PaceReason::Failures, now);
}

void ConcurrencyLimit::shrink(double factor, PaceReason reason, Instant now)
{
    m_limit = std::max(1.0, m_limit * factor);
    m_shrunkAt = now;
    m_answersAtLimit = 0;
    m_phase = PacePhase::Steady;
    if (!std::exchange(m_hasReportedShrinking, true))
        m_change = reason;
}

}
