#include "directory/PlatformPath.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    /// The direct way is tried again after this, doubled with each failure in a row up to the limit: a silent platform
    /// costs each such try its whole timeout.
    constexpr Milliseconds firstPause { 1000 };
    constexpr Milliseconds longestPause { 4000 };

}

PlatformPath::PlatformPath(TargetAddress direct, uint64_t seed)
    : m_direct(std::move(direct))
    , m_random(seed)
{
}

PlatformPath::Way PlatformPath::choose(Instant now)
{
    if (m_failures == 0 || m_peers.empty())
        return { m_direct, true };
    if (now >= m_nextDirect) {
        // One call at a time tries; the others go on through peers.
        m_nextDirect = now + longestPause;
        return { m_direct, true };
    }
    return { m_peers[m_peer % m_peers.size()], false };
}

void PlatformPath::report(const Way& way, bool isReached, Instant now)
{
    if (!way.isDirect) {
        if (!isReached)
            m_peer = m_random();
        return;
    }
    if (isReached) {
        m_failures = 0;
        return;
    }
    const double doublings = std::min(m_failures, 8U);
    ++m_failures;
    m_nextDirect = now + std::min(firstPause * std::exp2(doublings), longestPause);
    if (m_failures == 1)
        m_peer = m_random();
}

}
