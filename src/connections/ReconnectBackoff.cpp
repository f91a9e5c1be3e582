#include "connections/ReconnectBackoff.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    constexpr uint32_t mostAttempts = 4;
    constexpr Milliseconds firstPause { 50 };
    constexpr Milliseconds longestPause { 1000 };
    constexpr uint32_t mostDoublings = 10;

}

ReconnectBackoff::ReconnectBackoff(uint64_t seed)
    : m_random(seed)
{
}

bool ReconnectBackoff::mayAttempt(Instant now, uint32_t underWay) const
{
    if (m_failures == 0)
        return underWay < mostAttempts;
    return underWay == 0 && now >= m_nextAttempt;
}

void ReconnectBackoff::succeeded()
{
    m_failures = 0;
    m_nextAttempt = {};
}

void ReconnectBackoff::failed(Instant now)
{
    const double doublings = std::min(m_failures, mostDoublings);
    const Milliseconds pause = std::min(firstPause * std::exp2(doublings), longestPause);
    ++m_failures;
    // Between half of the pause and all of it: daemons that failed together come back apart.
    std::uniform_real_distribution<double> share(0.5, 1.0);
    m_nextAttempt = now + pause * share(m_random);
}

}
