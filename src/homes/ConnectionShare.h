#pragma once

#include "configuration/Configuration.h"

#include <cstdint>

namespace parsleypaddle {

/// Connections and concurrent statements that one daemon may use at one target.
struct TargetShare {
    uint32_t connections { 0 };
    /// Statements that may run at the same time.
    uint32_t slots { 0 };
};

/// Number of daemons that may act as the home of a target at the same time. Daemons with different views of the
/// membership may choose different homes.
constexpr uint32_t mostHomesOfTarget = 4;

/// The share of the daemon with the given rank among the target's homes; empty from rank `mostHomesOfTarget` on.
/// The shares of all ranks, together with the control connections of the daemons that monitor the group, stay within the
/// connection limit of the target. Daemons that disagree about the home therefore do not exceed it.
TargetShare shareForRank(const GroupConfiguration&, uint32_t rank);

}
