#pragma once

#include "base/Time.h"

#include <cstdint>

namespace parsleypaddle {

/// Statistics of one daemon's reads at one target: their delay, and whether the target should be avoided. Reads no clock:
/// callers pass the time.
class TargetExperience {
public:
    /// Records a read that was answered after `took`.
    void succeeded(Milliseconds took, Instant now);
    /// Records a read that failed because the target had not applied the position or its data was too old.
    void wasBehind(Instant now);
    /// Records a read that could not reach the target, and avoids the target at once.
    void wasUnreachable(Instant now);

    /// Expected delay of a read, or `fallback` if none was answered lately.
    Milliseconds expectedDelay(Milliseconds fallback, Instant now) const;

    /// Whether reads should try other targets first for now.
    bool isAvoided(Instant now) const { return now < m_avoidedUntil; }

private:
    double failureScoreAt(Instant now) const;
    void startAvoidance(Instant now);

    double m_delay { 0 };
    uint32_t m_answerCount { 0 };
    Instant m_lastAnswerAt;
    /// Failure score between 0 and 1: rises with attempts that found the target behind or unreachable, falls with answered
    /// ones, and decays with time.
    double m_failureScore { 0 };
    Instant m_failureScoreUpdatedAt;
    bool m_isFailing { false };
    uint32_t m_avoidanceCount { 0 };
    Instant m_avoidedUntil;
};

}
