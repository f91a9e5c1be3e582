#pragma once

#include "base/Time.h"
#include "directory/TargetEntry.h"

#include <map>
#include <optional>
#include <vector>

namespace parsleypaddle {

/// The targets to use: those that the platform lists, and those that it listed a moment ago. Entries lapse while the
/// platform is away, and are back within two seconds of its return if their targets live. Pure.
class TargetRoster {
public:
    /// Takes over a new list.
    void take(std::vector<TargetEntry> listed, Instant now);

    /// The targets to use at `now`.
    std::vector<TargetEntry> targets(Instant now);

    /// When the next missing target is given up; unset while none is missing.
    std::optional<Instant> nextChange() const;

private:
    struct Known {
        TargetEntry entry;
        std::optional<Instant> missingSince;
    };

    std::map<TargetId, Known> m_known;
};

}
