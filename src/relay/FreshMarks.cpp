#include "relay/FreshMarks.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// Marks closer together than this are merged, which bounds what is kept.
    constexpr Milliseconds spacing { 20 };
    /// The longest greatest age that a route may reasonably have; older marks are forgotten.
    constexpr Milliseconds memory { 10'000 };
    /// Time that a read may take from here to the target, so that its mark is still young enough there.
    constexpr Milliseconds transit { 100 };

}

void FreshMarks::note(Instant sentAt, const LogMark& mark)
{
    if (!m_marks.empty() && sentAt < m_marks.back().at)
        return;
    // A later answer may have been overtaken by an earlier one; both marks cover what the greater one does.
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
