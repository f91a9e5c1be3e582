#pragma once

#include "base/Time.h"

namespace parsleypaddle {

/// In a planned change, statements and transactions at the old primary have this long to end before they are abandoned.
inline constexpr Milliseconds plannedReleaseTimeout { 500 };
/// Minimum time between two probes of a target, since each probe opens a new connection.
inline constexpr Milliseconds probeInterval { 80 };

}
