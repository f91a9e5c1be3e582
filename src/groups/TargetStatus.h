#pragma once

#include "base/Ids.h"
#include "base/Time.h"

namespace parsleypaddle {

/// What a target says it is.
enum class TargetRole : uint8_t {
    Primary,
    Replica,
};

/// A target's own statement about itself.
struct TargetStatus {
    TargetRole role { TargetRole::Replica };
    /// The highest term it was fenced at, promoted to, or took log from.
    Term term;
    /// The term in which the last commit of its log was written; 0 while the log is empty. A log of a higher one is
    /// the more complete, whatever the positions say.
    Term logTerm;
    /// The end of the log it holds.
    LogPosition position;
    /// How far it has applied; reads see this.
    LogPosition applied;
    /// Time since it was known to be level with its primary; zero at a primary.
    Milliseconds age;
    bool isLeaving { false };
};

}
