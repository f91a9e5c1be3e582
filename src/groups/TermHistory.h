#pragma once

#include "groups/LogMark.h"

#include <vector>

namespace parsleypaddle {

/// Where the log of each term of a group began, for the last terms. A log that a primary went on writing beyond the beginning of a later term
/// is a branch that the group has left: that part of it was rolled back.
class TermHistory {
public:
    /// Terms that are kept.
    static constexpr size_t maxTerms = 16;

    /// Adds a term whose log began after `begin`. Has no effect if that term or a later one was added before.
    void add(Term, LogPosition begin);

    /// The end of the part of a log that the group has kept, if the whole log ends at `end`.
    LogMark keptPart(const LogMark& end) const;
    /// Whether the log has a part that the group has left.
    bool hasLeftBranch(const LogMark& end) const { return keptPart(end) != end; }

    /// In the order of the terms.
    const std::vector<LogMark>& begins() const { return m_begins; }

private:
    std::vector<LogMark> m_begins;
};

}
