#pragma once

#include "base/Time.h"

namespace parsleypaddle {

/// Statements and transactions at a primary that leaves as planned have this long to end.
inline constexpr Milliseconds plannedRelease { 500 };
/// Pause between two questions to a target: each is a new connection.
inline constexpr Milliseconds probeInterval { 80 };

}
