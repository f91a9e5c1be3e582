#include "directory/WatchTimes.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds minHoldTime { 500 };
    /// Without a bound to keep, a watch is sent again this often.
    constexpr Milliseconds maxHoldTime { 7500 };
    /// Time to read a change that is known to be missing, to send it to subscribers, and to apply it.
    constexpr Milliseconds deliveryTime { 500 };

}

// A lost response shows only when the request times out.
Milliseconds watchHoldTime(Milliseconds bound)
{
    return std::clamp(bound - platformCallTimeout - watchRetryDelay - deliveryTime, minHoldTime, maxHoldTime);
}

}
