#pragma once

#include "base/Time.h"

namespace parsleypaddle {

/// How long a call to the platform may take if it does not wait for a change. Such a call takes about 4 ms, and up to 60 times that when the
/// platform is slow.
inline constexpr Milliseconds platformCallTimeout { 900 };

/// Delay before a watch repeats a failed call.
inline constexpr Milliseconds watchRetryDelay { 300 };

/// How long the platform may hold a watch request open while nothing changes, so that a change is in force within `bound` of its acceptance
/// even if the response that reports it is lost. 500 ms at least, and 7.5 s at most.
Milliseconds watchHoldTime(Milliseconds bound);

}
