#pragma once

#include "groups/LogMark.h"

#include <optional>
#include <vector>

namespace parsleypaddle {

/// The last commit of a session in each group in which it has committed. Positions of different groups cannot be compared, and a database
/// may move from one group to another.
class SessionCommits {
public:
    /// Notes a commit at the log mark that was told with its acknowledgement.
    void add(const GroupId&, const LogMark&);

    /// nullopt if the session has not committed in this group.
    std::optional<LogMark> lastIn(const GroupId&) const;

private:
    struct Commit {
        GroupId group;
        LogMark mark;
    };

    /// A session uses one database, so there is rarely more than one.
    std::vector<Commit> m_commits;
};

}
