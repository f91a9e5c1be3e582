#pragma once

#include "configuration/Configuration.h"
#include "groups/TargetStatus.h"

#include <map>
#include <vector>

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
    /// The role that the target reports.
    TargetRole role { TargetRole::Replica };
};

}
