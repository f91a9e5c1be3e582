#pragma once

#include "base/Ids.h"

#include <vector>

namespace parsleypaddle {

/// The log position up to which a session has written in one database.
struct SessionPosition {
    DatabaseId database;
    Term term;
    LogPosition position;
    /// Whether a write with unknown outcome may have been executed after `position`.
    bool isUncertain { false };
};

/// The log positions that a target must have applied before it serves reads of a session, one for each database that the
/// session wrote to.
class SessionState {
public:
    const std::vector<SessionPosition>& positions() const { return m_positions; }

    /// The session's position in a database; nullptr when the session has not written there.
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
