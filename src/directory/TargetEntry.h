#pragma once

#include "base/Time.h"
#include "configuration/Configuration.h"
#include "groups/TargetStatus.h"

#include <optional>

namespace parsleypaddle {

/// The entry of one target in the platform's list, which is updated with a delay.
struct TargetEntry {
    TargetConfiguration target;
    /// Statements that the target runs at the same time.
    uint32_t slots { 1 };
    /// Counts what the target has said of itself since its start.
    uint64_t sequence { 0 };
    /// The target will shut down soon and accepts no new work.
    bool isLeaving { false };
    /// When this daemon received the first list that says so; unset if that was the first list with the target.
    std::optional<Instant> leavingSince;
    /// When its process was started, by the target's own clock; unset if it does not say so.
    std::optional<Instant> startedAt;
    /// False while the target is missing from the list, but not for long enough to count as gone.
    bool isListed { true };
    /// Whether it was leaving and has removed itself from the list.
    bool hasLeft { false };
    /// The role that the target reports.
    TargetRole role { TargetRole::Replica };
};

}
