#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "groups/LogMark.h"
#include "groups/TermHistory.h"
#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>

namespace parsleypaddle {

/// Phase of a change of primary.
enum class GroupPhase : uint8_t {
    /// No change is in progress; daemons may use the primary.
    Open,
    /// Daemons stop using the primary. The owner of the change waits for that and then chooses a candidate.
    Closing,
    /// A candidate is chosen, and its promotion may already have been requested.
    Promoting,
};

/// State of a group's primary that all daemons share. Stored as a platform row, which a daemon overwrites only if the row
/// still has the version that the daemon has read.
struct GroupRecord {
    GroupPhase phase { GroupPhase::Open };
    TargetId primary;
    Term term;
    /// Whether the primary is leaving as planned. It still answers, so daemons let their statements at it end first.
    bool isPlanned { false };
    /// The daemon that carries out the change; while Open, the daemon that wrote the record.
    InstanceId owner;
    std::string ownerIncarnation;
    /// The target to promote. Set while Promoting, and kept if the phase returns to Closing.
    TargetId candidate;
    /// The record was written after the platform had returned from a copy, by a daemon that may not know how far the change had come.
    bool isReinstated { false };
    /// The target of a call for a promotion to which the platform has not answered, so that it may still be carried out. Until it must have
    /// taken effect, no other target is promoted or used as the primary. Empty if there is none.
    TargetId unansweredCandidate;
    /// When such a call has taken effect at the latest, by the platform's clock.
    Instant unansweredUntil;
    /// The end of the primary's log when the record was opened with it.
    LogMark termBegin;
    /// Where this term and those before it began.
    TermHistory history;
    /// While a change is in progress: in how many replicas a commit of the primary is before it is acknowledged.
    uint32_t synchronousReplicas { 0 };
    /// While a change is in progress: a mark that covers every commit that the primary has acknowledged. Unset while none is known.
    std::optional<LogMark> lastMark;
    /// While a change is in progress: when it began, by the platform's clock. Zero if unknown, as of a daemon of an earlier version.
    Instant beganAt;
};

std::string encodeGroupRecord(const GroupRecord&);
absl::StatusOr<GroupRecord> decodeGroupRecord(const std::string&);

/// Keys of rows in the control table.
std::string groupKey(const GroupId&);
std::string suspicionKey(const GroupId&, const InstanceId&);
/// Common prefix of the keys of a group's suspicions.
std::string suspicionPrefix(const GroupId&);

}
