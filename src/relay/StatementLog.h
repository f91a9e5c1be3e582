#pragma once

#include "relay/RelayGroup.h"

#include <string_view>

namespace parsleypaddle {

/// Logs that a statement was refused or aborted, or lost its connection, with the state of its group at that time.
/// The target id is empty when no target was chosen.
void logStatement(RelayGroup&, std::string_view event, const RelayJob&, const TargetId&, RelayError, std::string_view why);

/// Records the result code and the duration of an answered statement in the metrics, by caller and database.
void recordStatementMetrics(RelayGroup&, const RelayJob&, RelayError);

}
