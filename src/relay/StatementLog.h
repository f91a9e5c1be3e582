#pragma once

#include "relay/RelayGroup.h"

#include <string_view>

namespace parsleypaddle {

/// Logs that a statement was refused or aborted, or lost its connection, with the state of its group at that time.
/// The target id is empty when no target was chosen.
void logStatement(RelayGroup&, std::string_view event, const RelayJob&, const TargetId&, RelayError, std::string_view why);

/// Logs and counts that a target has refused a step which prepares its session for the statement.
void logSessionSetupRefused(RelayGroup&, const RelayJob&, const RelaySlot&, const RelayAnswer& refused);

/// Logs and counts that a target does not know a prepared statement that it had confirmed.
void logPreparedStatementLost(RelayGroup&, const RelayJob&, const RelaySlot&);

/// Counts the prepared statements that are dropped on a connection to make room for others.
void recordSessionSetup(RelayGroup&, const SessionSetup&);

/// Adds a finished statement to the metrics: its duration, by caller and separately by database, and its result code, which is
/// counted over all callers and databases.
void recordStatementMetrics(RelayGroup&, const RelayJob&, RelayError);

}
