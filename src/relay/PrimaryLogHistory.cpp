#include "relay/PrimaryLogHistory.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// Samples taken closer together than this are merged, which bounds their number.
    constexpr Milliseconds sampleInterval { 20 };
    /// Samples older than this are discarded. No route is expected to allow a greater age for its reads.
    constexpr Milliseconds retention { 10'000 };
    /// Allowance for the time until the read arrives at the target, so that the mark is still recent enough there.
    constexpr Milliseconds maxTransitTime { 100 };

}

void PrimaryLogHistory::addSample(Instant sentAt, const LogMark& mark)
{
    if (!m_samples.empty() && sentAt < m_samples.back().at)
        return;
    // Answers may arrive out of order, so the newer sample can have the smaller mark. The greater mark covers both.
    const LogMark greatest = m_samples.empty() ? mark : std::max(mark, m_samples.back().mark);
    while (!m_samples.empty() && m_samples.front().at + retention < sentAt)
        m_samples.pop_front();
    const size_t n = m_samples.size();
    if (n >= 2 && sentAt - m_samples[n - 2].at < sampleInterval)
        m_samples.back() = { sentAt, greatest };
    else
        m_samples.push_back({ sentAt, greatest });
}

// Marks are ordered by term first, so a mark of a later term covers an earlier commit: either that has survived, or it was rolled back. Until
// such a mark is known the commit stays required, and replicas that lack it refuse the read.
std::optional<LogMark> PrimaryLogHistory::requiredMark(Instant now, Milliseconds greatestAge, const std::optional<LogMark>& ownCommit) const
{
    const Instant oldest = now + maxTransitTime - greatestAge;
    const auto it = std::find_if(m_samples.begin(), m_samples.end(), [oldest](const Sample& sample) { return sample.at >= oldest; });
    if (it == m_samples.end())
        return std::nullopt;
    return ownCommit ? std::max(it->mark, *ownCommit) : it->mark;
}

std::optional<LogMark> PrimaryLogHistory::newestMark() const
{
    if (m_samples.empty())
        return std::nullopt;
    return m_samples.back().mark;
}

}
