#pragma once

#include "base/Time.h"
#include "leases/PlatformEraRow.h"

#include <optional>

namespace parsleypaddle {

/// What a daemon knows about the present era of the platform.
struct PlatformEraState {
    PlatformEra era;
    /// Unset until the first holder has written the row.
    std::optional<PlatformEraRow> row;
    /// When this daemon received the row.
    Instant rowSince;

    /// Whether the platform has returned from a copy, so that its rows may say what was true earlier.
    bool isRestored() const { return era > firstEra; }

    /// Whether a row of this version was written in this era.
    bool isPresent(RowVersion version) const { return !isRestored() || (row && version > row->version); }

    /// Whether all leases of earlier eras have expired. The platform does not list those that were granted after the copy was made.
    bool isSettled(Instant platformTime) const;
    /// The same by this daemon's clock: false for longer, because the row may have been received late.
    bool isSettledSince(Instant now) const;
};

}
