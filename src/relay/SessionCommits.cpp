#include "relay/SessionCommits.h"

#include <algorithm>

namespace parsleypaddle {

void SessionCommits::add(const GroupId& group, const LogMark& mark)
{
    const auto it = std::find_if(m_commits.begin(), m_commits.end(), [&group](const Commit& commit) { return commit.group == group; });
    if (it == m_commits.end())
        m_commits.push_back({ group, mark });
    else
        it->mark = std::max(it->mark, mark);
}

std::optional<LogMark> SessionCommits::lastIn(const GroupId& group) const
{
    const auto it = std::find_if(m_commits.begin(), m_commits.end(), [&group](const Commit& commit) { return commit.group == group; });
    return it == m_commits.end() ? std::nullopt : std::make_optional(it->mark);
}

}
