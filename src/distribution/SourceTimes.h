#pragma once

#include "base/Time.h"

namespace parsleypaddle {

/// For how long the platform may leave a source without answers before its subscribers look for another one, so that a change is in force
/// within `bound` of its acceptance although the source cannot report it. 1 s at least, and 3.5 s at most. A source that the platform
/// answers hears from it at least 0.5 s earlier: at the end of each watch (`watchHoldTime(bound)`), or at each renewal of its row (2 s).
Milliseconds maxSourceAge(Milliseconds bound);

/// While no source reaches the platform, a subscriber that it answers becomes a holder if that is still so after this delay,
/// which is shorter where `bound` asks for it.
Milliseconds staleRecheckDelay(Milliseconds bound);

}
