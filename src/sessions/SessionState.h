#pragma once

#include "base/Ids.h"

#include <vector>

namespace parsleypaddle {

/// The log position that a target must have applied before it serves reads of a session on one database.
struct SessionPosition {
    DatabaseId database;
    Term term;
    LogPosition position;
    /// Whether a write with unknown outcome may have been executed after `position`.
    bool isUncertain { false };
};

/// The positions of a session in all databases for which one was recorded.
class SessionState {
public:
    const std::vector<SessionPosition>& positions() const { return m_positions; }

    /// The session's position in a database; nullptr when none was recorded.
    const SessionPosition* find(const DatabaseId&) const;

    /// Sets a confirmed position and clears isUncertain, unless the stored position is a later one.
    void advance(const DatabaseId&, Term, LogPosition);

    /// Records that a write with unknown outcome may have been executed.
    void setUncertain(const DatabaseId&);

private:
    SessionPosition& findOrAdd(const DatabaseId&);

    std::vector<SessionPosition> m_positions;
};

}
