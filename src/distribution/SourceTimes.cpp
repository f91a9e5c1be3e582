#include "distribution/SourceTimes.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds minSourceAge { 1000 };
    /// One renewal of the row can be missed, also in a large fleet.
    constexpr Milliseconds greatestSourceAge { 3500 };
    /// Time to find out that no other source reaches the platform, to become a holder that the other subscribers hear of at their next
    /// renewals, and to read what has changed.
    constexpr Milliseconds replacementTime { 1200 };
    /// In this time a source repeats a call that the platform left unanswered, and reports to its subscribers.
    constexpr Milliseconds longRecheckDelay { 1200 };
    /// Longer than the interval at which a source without the platform reports to its subscribers.
    constexpr Milliseconds shortRecheckDelay { 500 };
    /// Bounds from here on keep the long delay.
    constexpr Milliseconds longRecheckBound { 5000 };

}

Milliseconds maxSourceAge(Milliseconds bound)
{
    return std::clamp(bound - replacementTime, minSourceAge, greatestSourceAge);
}

// After a short outage of the whole platform, the short delay makes some more subscribers become holders until they step down.
Milliseconds staleRecheckDelay(Milliseconds bound)
{
    return bound < longRecheckBound ? shortRecheckDelay : longRecheckDelay;
}

}
