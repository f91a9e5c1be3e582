#pragma once

#include "relay/RelayGroup.h"

#include <string_view>

namespace parsleypaddle {

/// Writes what became of a statement that was not simply served, with what decided it.
void logStatement(RelayGroup&, std::string_view event, const RelayJob&, const TargetId&, RelayError, std::string_view why);

/// Counts an answered statement and how long it took, by caller and database.
void measureStatement(RelayGroup&, const RelayJob&, RelayError);

}
