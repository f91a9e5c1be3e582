#pragma once

#include "base/Time.h"

#include <cstdint>
#include <random>

namespace parsleypaddle {

/// The failed part of a target's recent answers, and when a target that fails often may be tried again. Reads no clock: callers pass
/// the time.
class FailureShare {
public:
    /// Different seeds keep daemons from trying a failing target at the same time.
    explicit FailureShare(uint64_t seed);

    void recordAnswer(Instant now);
    /// Records a statement without an answer, or with an error that is the target's.
    void recordFailure(Instant now);
    /// Records a statement that failed, which may be due to its text. It raises the share, but does not make the target suspected.
    void recordError(Instant now);
    /// Records that no connection could be opened.
    void recordUnreachable(Instant now);
    /// Records that the target was full, which says nothing of its faults.
    void recordRefusal(Instant now);
    /// Records that a statement is about to be sent. While it is not answered, a suspected target is paused for.
    void recordProbe(Instant now);
    /// Lets the target be tried at once, because it was started again.
    void expectRecovery(Instant now);

    /// Between 0 and 1; decays with time while the target is not suspected.
    double share(Instant now) const;
    /// Whether the target gets one statement at a time.
    bool isSuspected() const { return m_isSuspected; }
    /// Whether the target is suspected and has not answered since its last failure.
    bool isUnproven() const { return m_isSuspected && m_answersInRow == 0; }
    /// Whether a statement that another target can run should not be sent now.
    bool isPaused(Instant now) const { return m_isSuspected && now < m_nextProbeAt; }

private:
    void raise(Instant now);
    void suspect(Instant now);
    void pause(Instant now);

    double m_share { 0 };
    Instant m_updatedAt;
    bool m_isSuspected { false };
    bool m_isProbing { false };
    /// Answers since the last failure.
    uint32_t m_answersInRow { 0 };
    /// Failed attempts since the target last answered reliably.
    uint32_t m_failedProbes { 0 };
    Instant m_nextProbeAt;
    std::minstd_rand m_random;
};

}
