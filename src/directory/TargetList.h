#pragma once

#include "base/Time.h"
#include "directory/TargetEntry.h"

#include <map>
#include <optional>
#include <vector>

namespace parsleypaddle {

/// The targets to use: those in the platform's list, and those missing from it for less than a grace period. Entries expire
/// while the platform is unavailable; running targets are listed again within two seconds of its return. Does no I/O.
class TargetList {
public:
    /// Replaces the list. Targets missing from the new one stay in use until their grace period ends.
    void setListed(std::vector<TargetEntry> listed, Instant now);

    /// The targets to use at `now`; removes those whose grace period has ended.
    std::vector<TargetEntry> targets(Instant now);

    /// When the next grace period ends; nullopt while no target is missing.
    std::optional<Instant> nextExpiry() const;

private:
    struct Known {
        TargetEntry entry;
        std::optional<Instant> missingSince;
    };

    std::map<TargetId, Known> m_known;
};

}
