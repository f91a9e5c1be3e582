#pragma once

#include "checking/History.h"
#include "standins/GroupModel.h"

#include <array>
#include <set>

namespace parsleypaddle {

/// What went wrong in a run; all are 0 when every guarantee held.
struct CheckerCounts {
    /// Values that the surviving log holds more than once.
    uint64_t doubled { 0 };
    /// Acknowledged writes that the surviving log lacks.
    uint64_t lost { 0 };
    /// Reads that did not see a write of their session that was acknowledged before they were sent.
    uint64_t staleSessionReads { 0 };
    /// Acknowledged writes that only a primary committed which had been replaced before.
    uint64_t ackedByReplaced { 0 };
    /// Writes told as not run that the surviving log holds.
    uint64_t falseNotRun { 0 };
    /// Commits that hold changes of two transactions, or only a part of one.
    uint64_t mixedTransactions { 0 };
    /// Statements that a leaving target began too long after it was told.
    uint64_t workToLeaving { 0 };
    /// Reads that returned another session's record.
    uint64_t foreignAnswers { 0 };
    /// Times that a running daemon gave no answer by the deadline.
    uint64_t unanswered { 0 };

    uint64_t total() const;
};

/// A count and its name in reports.
struct CheckerCountField {
    const char* name;
    uint64_t CheckerCounts::*count;
};

/// All counts, in the order of reports.
const std::array<CheckerCountField, 9>& checkerCountFields();

/// Counts broken guarantees from what callers saw and what the modelled groups did. It knows nothing of the decisions.
class Checker {
public:
    /// Work at a leaving target counts once it has been leaving for longer than `leavingLimit`.
    explicit Checker(Milliseconds leavingLimit)
        : m_leavingLimit(leavingLimit)
    {
    }

    /// Checks one group's part of a run that has come to rest.
    CheckerCounts check(const CallerHistory&, GroupModel&) const;

private:
    Milliseconds m_leavingLimit;
};

}
