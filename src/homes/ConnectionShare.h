#pragma once

#include "configuration/Configuration.h"

#include <cstdint>

namespace parsleypaddle {

/// What a daemon may use of a target.
struct TargetShare {
    uint32_t connections { 0 };
    uint32_t slots { 0 };
};

/// Daemons that may act as the home of a target at one time.
constexpr uint32_t mostHomesOfTarget = 4;

/// The share of the daemon with that rank. The shares of all ranks and the control connections of the watchers
/// add up to no more than the target accepts, so that daemons that disagree about the home do no harm.
TargetShare shareOf(const GroupConfiguration&, uint32_t rank);

}
