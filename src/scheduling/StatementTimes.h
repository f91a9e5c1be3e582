#pragma once

#include "base/Time.h"

#include <algorithm>

namespace parsleypaddle {

/// Until when an answer to a statement is of value to its caller.
struct StatementTimes {
    /// An answer by this time has its full value.
    Instant objective;
    /// A statement that has not been sent to a target by this time is refused.
    Instant deadline;
};

/// How a statement that cannot meet its objective is treated.
enum class LateStatements : uint8_t {
    /// Refused at its objective.
    Refuse,
    /// Run behind all statements that can meet theirs, until the statement's time-out.
    Serve,
};

/// The times of a statement that its caller sent at `arrived`. `objective` and `timeout` are its route's.
inline StatementTimes statementTimes(Instant arrived, Milliseconds objective, Milliseconds timeout, LateStatements late)
{
    const Instant objectiveEnd = arrived + objective;
    if (late == LateStatements::Refuse)
        return { objectiveEnd, objectiveEnd };
    // A statement that has been sent has until its time-out to run, so one that starts just before would end without an answer.
    constexpr double runningShare = 0.1;
    constexpr Milliseconds maxRunning { 100 };
    const Instant lastStart = arrived + timeout - std::min(timeout * runningShare, maxRunning);
    return { objectiveEnd, std::max(objectiveEnd, lastStart) };
}

}
