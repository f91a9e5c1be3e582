#pragma once

#include "base/Ids.h"

#include <vector>

namespace parsleypaddle {

/// What a session has written in one database.
struct SessionPosition {
    DatabaseId database;
    Term term;
    LogPosition position;
    /// A write of unknown outcome may lie past `position`.
    bool isUncertain { false };
};

/// What a session must see: one position for each database that it wrote to.
class SessionState {
public:
    const std::vector<SessionPosition>& positions() const { return m_positions; }

    /// The session's position in a database; nullptr when it has none.
    const SessionPosition* find(const DatabaseId&) const;

    /// Notes a confirmed position, which also settles earlier uncertainty; older ones change nothing.
    void advance(const DatabaseId&, Term, LogPosition);

    /// Notes that a write of unknown outcome may have happened.
    void setUncertain(const DatabaseId&);

private:
    SessionPosition& findOrAdd(const DatabaseId&);

    std::vector<SessionPosition> m_positions;
};

}
