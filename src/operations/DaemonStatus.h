#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "groups/TargetStatus.h"
#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <json/value.h>
#include <vector>

namespace parsleypaddle {

/// What a daemon knows of one target.
struct TargetReport {
    TargetId target;
    FailureDomainId failureDomain;
    TargetStatus status;
    /// Since its status was heard; negative when never.
    Milliseconds heardAgo;
    bool isSuspect { false };
    /// The daemon that ranks first for it.
    InstanceId home;
};

/// What a daemon knows of one group.
struct GroupReport {
    DatabaseId database;
    Term term;
    /// Empty while none is known.
    TargetId primary;
    std::vector<TargetReport> targets;
};

/// One daemon's report on itself and what it sees.
struct DaemonStatus {
    InstanceId instance;
    FailureDomainId failureDomain;
    ConfigurationVersion version;
    std::string changeId;
    bool isDraining { false };
    size_t requestsInFlight { 0 };
    /// The groups that it has heard of from their targets or homes.
    std::vector<GroupReport> groups;
    /// All daemons that it knows, itself included.
    std::vector<InstanceEntry> instances;
};

Json::Value toJson(const DaemonStatus&);

/// Reads a report back; WrongType when it has another form.
absl::StatusOr<DaemonStatus> daemonStatusFrom(const Json::Value&);

}
