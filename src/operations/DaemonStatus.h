#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "groups/TargetStatus.h"
#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <json/value.h>
#include <vector>

namespace parsleypaddle {

/// The state of one target as seen by the reporting daemon.
struct TargetReport {
    TargetId target;
    FailureDomainId failureDomain;
    TargetStatus status;
    /// Time since the target's last status was received; negative when none has been received.
    Milliseconds statusReceivedAgo;
    /// New connections to the target fail or are not answered.
    bool isSuspect { false };
    /// The daemon that Membership::rankedDaemonsFor() ranks first for the target; empty when there is none.
    InstanceId home;
};

/// The state of one group as seen by the reporting daemon.
struct GroupReport {
    DatabaseId database;
    Term term;
    /// Empty while no primary is known.
    TargetId primary;
    std::vector<TargetReport> targets;
};

/// One daemon's state, and the state of the fleet as that daemon sees it. The `status` method returns it.
struct DaemonStatus {
    InstanceId instance;
    FailureDomainId failureDomain;
    ConfigurationVersion version;
    std::string changeId;
    bool isDraining { false };
    size_t requestsInFlight { 0 };
    /// The groups whose state the daemon has received from their targets or from other daemons.
    std::vector<GroupReport> groups;
    /// All daemons that this one knows of, including itself.
    std::vector<InstanceEntry> instances;
};

Json::Value toJson(const DaemonStatus&);

/// Converts the JSON form back to a status; WrongType when a field cannot be converted to its type. An absent field gives
/// an empty text, zero or false.
absl::StatusOr<DaemonStatus> daemonStatusFromJson(const Json::Value&);

}
