#include "relay/FreshMarks.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// Samples taken closer together than this are merged, which bounds their number.
    constexpr Milliseconds spacing { 20 };
    /// Samples older than this are discarded. No route is expected to allow a greater age for its reads.
    constexpr Milliseconds memory { 10'000 };
    /// Allowance for the time until the read arrives at the target, so that the mark is still recent enough there.
    constexpr Milliseconds transit { 100 };

}

void FreshMarks::note(Instant sentAt, const LogMark& mark)
{
    if (!m_marks.empty() && sentAt < m_marks.back().at)
        return;
    // Answers may arrive out of order, so the newer sample can have the smaller mark. The greater mark covers both.
    const LogMark greatest = m_marks.empty() ? mark : std::max(mark, m_marks.back().mark);
    while (!m_marks.empty() && m_marks.front().at + memory < sentAt)
        m_marks.pop_front();
    const size_t n = m_marks.size();
    if (n >= 2 && sentAt - m_marks[n - 2].at < spacing)
        m_marks.back() = { sentAt, greatest };
    else
        m_marks.push_back({ sentAt, greatest });
}

std::optional<LogMark> FreshMarks::required(Instant now, Milliseconds greatestAge) const
{
    const Instant oldest = now + transit - greatestAge;
    const auto it = std::find_if(m_marks.begin(), m_marks.end(), [oldest](const Seen& seen) { return seen.at >= oldest; });
    if (it == m_marks.end())
        return std::nullopt;
    return it->mark;
}

std::optional<LogMark> FreshMarks::newest() const
{
    if (m_marks.empty())
        return std::nullopt;
    return m_marks.back().mark;
}

}
