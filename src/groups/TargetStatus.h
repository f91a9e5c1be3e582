#pragma once

#include "base/Ids.h"
#include "base/Time.h"

namespace parsleypaddle {

/// The role that a target reports.
enum class TargetRole : uint8_t {
    Primary,
    Replica,
};

/// The status that a target reports in answer to a batch.
struct TargetStatus {
    TargetRole role { TargetRole::Replica };
    /// The highest term at which it was fenced or promoted, or from whose primary it has replicated.
    Term term;
    /// The term in which the last commit of its log was written; 0 while the log is empty. Of two logs, the one with the
    /// higher `logTerm` is the more complete, even if its position is lower.
    Term logTerm;
    /// The end of the log that it holds, applied or not.
    LogPosition position;
    /// The position up to which it has applied its log; reads see the data up to here.
    LogPosition applied;
    /// Time since it was last known to have applied all of its primary's log; zero at a primary.
    Milliseconds age;
    bool isLeaving { false };
};

}
