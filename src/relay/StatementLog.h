#pragma once

#include "relay/RelayGroup.h"

#include <string_view>

namespace parsleypaddle {

/// Logs that a statement was refused or aborted, or lost its connection, with the state of its group at that time.
/// The target id is empty when no target was chosen.
void logStatement(RelayGroup&, std::string_view event, const RelayJob&, const TargetId&, RelayError, std::string_view why);

/// Adds a finished statement to the metrics: its duration, by caller and separately by database, and its result code, which is
/// counted over all callers and databases.
void recordStatementMetrics(RelayGroup&, const RelayJob&, RelayError);

}
