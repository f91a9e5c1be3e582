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

/// Number of ranks whose daemons may act as the home of a target at the same time. The home is the daemon that queues and runs
/// the requests to the target. Daemons with different views of the membership may choose different homes.
constexpr uint32_t maxHomesPerTarget = 4;

/// The share of the daemon with the given rank among the target's homes; empty from rank `maxHomesPerTarget` on.
/// The shares of all ranks plus 6 connections reserved for control connections add up to at most the target's connection limit
/// if it is at least 10. With a lower limit they exceed it. The daemons together may also exceed the limit while two of them
/// compute the same rank from different views of the membership, or hold more control connections than are reserved.
TargetShare shareForRank(const GroupConfiguration&, uint32_t rank);

}
