#pragma once

#include "base/Time.h"
#include "groups/LogMark.h"
#include "routing/FailureShare.h"

#include <cstdint>
#include <optional>

namespace parsleypaddle {

/// Statistics of one daemon's requests to one target, a database server or another daemon: their delay, and whether the
/// target should be avoided. Reads no clock: callers pass the time.
class TargetHealth {
public:
    /// From now on, the target is avoided in proportion to the failed part of its answers, and failures are told apart by kind.
    void avoidInProportion(uint64_t seed) { m_failures.emplace(seed); }
    /// Ends avoidInProportion().
    void avoidFully() { m_failures.reset(); }

    /// Records a request that was answered after `delay`.
    void recordAnswer(Milliseconds delay, Instant now);
    /// Records a request that the target did not run because of its log position, the age of its data or its term, or that
    /// another daemon did not run for any reason.
    void recordBehind(Instant now);
    /// Records a request that got no answer, or could not be sent, and avoids the target at once.
    void recordUnreachable(Instant now);

    /// Expected delay of a request, or `fallback` if none was answered lately.
    Milliseconds expectedDelay(Milliseconds fallback, Instant now) const;

    /// Whether other targets should be tried first for now.
    bool isAvoided(Instant now) const { return m_failures ? m_failures->isPaused(now) : now < m_avoidedUntil; }

    /// The failed part of the target's answers; null while the target is avoided fully.
    FailureShare* failures() { return m_failures ? &*m_failures : nullptr; }

    /// Records that a replica has not applied its log up to the mark.
    void recordLagging(const LogMark&, Instant now);
    /// Records that a replica has applied its log up to the mark.
    void recordApplied(const LogMark&);
    /// Whether the replica has probably not applied its log up to the mark yet.
    bool isBehind(const LogMark&, Instant now) const;

private:
    double failureScoreAt(Instant now) const;
    void startAvoidance(Instant now);

    double m_delay { 0 };
    uint32_t m_answerCount { 0 };
    Instant m_lastAnswerAt;
    /// Failure score between 0 and 1: rises with recordBehind() and recordUnreachable(), falls with recordAnswer(), and decays
    /// with time.
    double m_failureScore { 0 };
    Instant m_failureScoreUpdatedAt;
    bool m_isFailing { false };
    uint32_t m_avoidanceCount { 0 };
    Instant m_avoidedUntil;
    std::optional<FailureShare> m_failures;
    /// The lowest mark that a replica lacked, and until when it is taken to lack it.
    LogMark m_laggingMark;
    Instant m_laggingUntil;
    uint32_t m_lagCount { 0 };
};

}
