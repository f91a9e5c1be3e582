#pragma once

#include "base/Time.h"

#include <cstdint>
#include <random>

namespace parsleypaddle {

/// Limits the connection attempts to one target, so that a target that is down or has just recovered receives no burst of
/// them: several concurrent attempts while they succeed, one at a time with exponential backoff and jitter after a
/// failure. Reads no clock: callers pass the time.
class ReconnectBackoff {
public:
    explicit ReconnectBackoff(uint64_t seed);

    /// Whether a connection attempt may start while `pendingAttempts` others have not completed.
    bool mayAttempt(Instant now, uint32_t pendingAttempts) const;

    /// Ends the backoff after an attempt that succeeded.
    void recordSuccess();
    /// Starts or extends the backoff after an attempt that failed: the delay doubles with each failure in a row, up to a
    /// maximum.
    void recordFailure(Instant now);

    /// Whether the last completed attempt failed.
    bool isFailing() const { return m_failures > 0; }

    /// The earliest time of the next attempt while the target is failing.
    Instant nextAttemptAt() const { return m_nextAttemptAt; }

private:
    uint32_t m_failures { 0 };
    Instant m_nextAttemptAt;
    std::mt19937_64 m_random;
};

}
