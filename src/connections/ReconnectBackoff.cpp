#include "connections/ReconnectBackoff.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    constexpr uint32_t maxConcurrentAttempts = 4;
    constexpr Milliseconds initialDelay { 50 };
    constexpr Milliseconds maxDelay { 1000 };
    constexpr uint32_t maxDoublings = 10;

}

ReconnectBackoff::ReconnectBackoff(uint64_t seed)
    : m_random(seed)
{
}

bool ReconnectBackoff::mayAttempt(Instant now, uint32_t pendingAttempts) const
{
    if (m_failures == 0)
        return pendingAttempts < maxConcurrentAttempts;
    return pendingAttempts == 0 && now >= m_nextAttemptAt;
}

void ReconnectBackoff::recordSuccess()
{
    m_failures = 0;
    m_nextAttemptAt = {};
}

void ReconnectBackoff::recordFailure(Instant now)
{
    const double doublings = std::min(m_failures, maxDoublings);
    const Milliseconds delay = std::min(initialDelay * std::exp2(doublings), maxDelay);
    ++m_failures;
    // Waits for between half of the delay and all of it, so that daemons whose attempts failed at the same time do not retry
    // at the same time.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    m_nextAttemptAt = now + delay * jitter(m_random);
}

}
