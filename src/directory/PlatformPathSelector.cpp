#include "directory/PlatformPathSelector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleypaddle {

namespace {

    /// Delay before the direct path is retried, doubled with each consecutive failure up to the maximum. Retries have to be
    /// rare because an unresponsive platform delays each of them by its whole timeout.
    constexpr Milliseconds initialRetryDelay { 1000 };
    constexpr Milliseconds maxRetryDelay { 4000 };

}

PlatformPathSelector::PlatformPathSelector(TargetAddress direct, uint64_t seed)
    : m_direct(std::move(direct))
    , m_nextPeer(seed)
    , m_random(seed)
{
}

PlatformPathSelector::Path PlatformPathSelector::choose(Instant now)
{
    if (m_consecutiveFailures == 0 || m_peers.empty())
        return { m_direct, true, m_consecutiveFailures == 0, now };
    if (now >= m_nextDirectAttempt) {
        // Only this call retries the direct path. Other calls use peers until its result is reported, a call through a peer
        // fails, or maxRetryDelay has passed.
        m_nextDirectAttempt = now + maxRetryDelay;
        return { m_direct, true, false, now };
    }
    return { m_peers[m_peerIndex % m_peers.size()], false, m_isPeerVerified, now };
}

bool PlatformPathSelector::report(const Path& path, bool wasAnswered, Instant now)
{
    if (!path.isDirect) {
        const bool wasVerified = std::exchange(m_isPeerVerified, wasAnswered);
        if (wasAnswered)
            return !wasVerified;
        m_peerIndex = m_random();
        // Calls fail on the direct path and through this peer, so the direct path is retried earlier. The platform may be
        // reachable again while this daemon cannot reach its peers.
        m_nextDirectAttempt = std::min(m_nextDirectAttempt, std::max(now, m_lastFailureAt + initialRetryDelay));
        return false;
    }
    if (wasAnswered)
        return std::exchange(m_consecutiveFailures, 0) > 0;
    // Calls that were already running at the last failure belong to the same failure, so they do not increase the delay.
    if (m_consecutiveFailures > 0 && path.chosenAt <= m_lastFailureAt)
        return false;
    const double doublings = std::min(m_consecutiveFailures, 8U);
    ++m_consecutiveFailures;
    m_lastFailureAt = now;
    m_nextDirectAttempt = now + std::min(initialRetryDelay * std::exp2(doublings), maxRetryDelay);
    if (m_consecutiveFailures == 1) {
        m_peerIndex = m_random();
        m_isPeerVerified = false;
    }
    return false;
}

std::optional<PlatformPathSelector::Path> PlatformPathSelector::nextPeerPath(Instant now)
{
    if (m_peers.empty())
        return std::nullopt;
    return Path { m_peers[m_nextPeer++ % m_peers.size()], false, false, now };
}

std::optional<PlatformPathSelector::Path> PlatformPathSelector::verifiedPeerPath(Instant now) const
{
    if (m_peers.empty() || !m_isPeerVerified)
        return std::nullopt;
    return Path { m_peers[m_peerIndex % m_peers.size()], false, true, now };
}

void PlatformPathSelector::adoptPeer(const Path& path)
{
    const auto it = std::find_if(m_peers.begin(), m_peers.end(), [&path](const TargetAddress& peer) { return peer.host == path.address.host && peer.port == path.address.port; });
    if (it == m_peers.end())
        return;
    m_peerIndex = static_cast<size_t>(std::distance(m_peers.begin(), it));
    m_isPeerVerified = true;
}

}
