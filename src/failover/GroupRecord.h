#pragma once

#include "base/Ids.h"
#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <string>

namespace parsleypaddle {

/// How far a change of primary has come.
enum class GroupPhase : uint8_t {
    /// The primary may be used.
    Open,
    /// The primary is being given up by every daemon.
    Closing,
    /// A promotion of the candidate may have been ordered.
    Promoting,
};

/// What all daemons agree on about a group's primary: a row of the platform, changed only on the condition that nobody
/// else has changed it.
struct GroupRecord {
    GroupPhase phase { GroupPhase::Open };
    TargetId primary;
    Term term;
    /// Whether the primary is leaving as planned, and goes on answering meanwhile.
    bool isPlanned { false };
    /// The daemon that carries the change out, and its process.
    InstanceId owner;
    std::string ownerIncarnation;
    /// Set while Promoting.
    TargetId candidate;
};

std::string encodeGroupRecord(const GroupRecord&);
absl::StatusOr<GroupRecord> decodeGroupRecord(const std::string&);

/// Keys of the control table.
std::string groupKey(const GroupId&);
std::string suspicionKey(const GroupId&, const InstanceId&);
/// The start of every suspicion's key of a group.
std::string suspicionPrefix(const GroupId&);

}
