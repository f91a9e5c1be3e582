#pragma once

#include "base/Time.h"
#include "configuration/Configuration.h"
#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <map>
#include <optional>
#include <string>

namespace parsleypaddle {

/// A target that may hold acknowledged commits.
struct KnownTarget {
    TargetAddress address;
    /// Whether it has reported that it leaves. The target that is started in its place, at its address, then has its log.
    bool isLeaving { false };
    /// When its process was started, by the target's own clock; unset if it does not say so.
    std::optional<Instant> startedAt;
    /// Whether its process was started again since then, so that it may have lost its log.
    bool hasRestarted { false };
    /// Since when it leaves, by the platform's clock; unset if it does not leave, or no daemon knows since when.
    std::optional<Instant> leavingSince;
    /// Empty if unknown, as of a row that a daemon of an earlier version has written.
    FailureDomainId failureDomain;

    friend bool operator==(const KnownTarget& a, const KnownTarget& b)
    {
        return a.address == b.address && a.isLeaving == b.isLeaving && a.leavingSince == b.leavingSince && a.startedAt == b.startedAt && a.hasRestarted == b.hasRestarted
            && a.failureDomain == b.failureDomain;
    }
};

/// Those of a group. Kept in a row of the control table, because a target counts also while it is missing from the platform's list.
using KnownTargets = std::map<TargetId, KnownTarget>;

std::string encodeKnownTargets(const KnownTargets&);
/// MalformedInput for text that is not a JSON object, MissingField for a target without an id, a host or a port, WrongType for other fields.
absl::StatusOr<KnownTargets> decodeKnownTargets(const std::string&);

/// Key of the row in the control table.
std::string knownTargetsKey(const GroupId&);

}
