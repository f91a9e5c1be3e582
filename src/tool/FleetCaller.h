#pragma once

#include "operations/DaemonStatus.h"
#include "tool/ToolContext.h"

namespace parsleypaddle {

/// One daemon as the tool found it.
struct FleetMember {
    /// Empty until it was heard or another daemon named it.
    InstanceId instance;
    ControlAddress address;
    absl::StatusOr<DaemonStatus> status { absl::UnavailableError("not asked") };
};

/// Calls the first of the daemons that the options name which can be reached, and parses its result.
/// A call that changes something is not repeated at another daemon unless it was not delivered.
absl::StatusOr<Json::Value> callAnyDaemon(ToolContext&, const std::string& method, const Json::Value& parameters, Milliseconds timeout, bool isChange = false);

/// Calls one daemon.
absl::StatusOr<Json::Value> callDaemon(ToolContext&, const ControlAddress&, const std::string& method, const Json::Value& parameters, Milliseconds timeout);

/// Calls several daemons, some at a time; the results stand in the same order.
std::vector<absl::StatusOr<Json::Value>> callDaemons(ToolContext&, const std::vector<ControlAddress>&, const std::string& method, const Json::Value& parameters);

/// The daemons that the options name and all that these know, each with its status. PeerUnreachable when none answers.
absl::StatusOr<std::vector<FleetMember>> findFleet(ToolContext&);

/// Asks every member for its status again.
void refreshFleet(ToolContext&, std::vector<FleetMember>&);

}
