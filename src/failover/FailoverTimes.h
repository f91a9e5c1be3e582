#pragma once

#include "base/Time.h"

namespace parsleypaddle {

/// In a planned change, statements and transactions at the old primary have this long to end before they are abandoned.
inline constexpr Milliseconds plannedReleaseTimeout { 500 };
/// Minimum time between two probes of a target, since each probe opens a new connection.
inline constexpr Milliseconds probeInterval { 80 };
/// Delay per rank before a daemon begins to replace a primary that is leaving or missing, or first
/// checks a change's owner, so that daemons do not all act at once. A change after a majority suspicion is not delayed.
inline constexpr Milliseconds staggerPerRank { 80 };
/// Groups whose first records of an era a daemon prepares at the same time. Each takes some 30 ms if its targets and the platform
/// answer. All holders together then have fewer transactions on the way than the platform carries out in a second.
inline constexpr uint32_t maxRecordsPrepared = 8;

}
