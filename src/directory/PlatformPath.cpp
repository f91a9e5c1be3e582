#include "directory/PlatformPath.h"

#include <algorithm>
#include <cmath>
#include <utility>

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
        return { m_direct, true, m_failures == 0, now };
    if (now >= m_nextDirect) {
        // One call at a time tries; the others go on through peers.
        m_nextDirect = now + longestPause;
        return { m_direct, true, false, now };
    }
    return { m_peers[m_peer % m_peers.size()], false, m_isPeerProven, now };
}

bool PlatformPath::report(const Way& way, bool isReached, Instant now)
{
    if (!way.isDirect) {
        const bool wasProven = std::exchange(m_isPeerProven, isReached);
        if (isReached)
            return !wasProven;
        m_peer = m_random();
        // Neither way is known to work now: the platform may be back, and only this daemon cut from the others.
        m_nextDirect = std::min(m_nextDirect, std::max(now, m_failedAt + firstPause));
        return false;
    }
    if (isReached)
        return std::exchange(m_failures, 0) > 0;
    // What broke together is one failure, however many calls were under way.
    if (m_failures > 0 && way.chosenAt <= m_failedAt)
        return false;
    const double doublings = std::min(m_failures, 8U);
    ++m_failures;
    m_failedAt = now;
    m_nextDirect = now + std::min(firstPause * std::exp2(doublings), longestPause);
    if (m_failures == 1) {
        m_peer = m_random();
        m_isPeerProven = false;
    }
    return false;
}

}
