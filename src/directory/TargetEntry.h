#pragma once

#include "configuration/Configuration.h"
#include "groups/TargetStatus.h"

#include <map>
#include <vector>

namespace parsleypaddle {

/// What the platform's list says of one target. It lags.
struct TargetEntry {
    TargetConfiguration target;
    /// Statements that it runs at a time.
    uint32_t slots { 1 };
    /// It stops soon and takes no new work.
    bool isLeaving { false };
    /// The role that it sees itself in.
    TargetRole role { TargetRole::Replica };
};

}
