#pragma once

#include "configuration/Configuration.h"
#include "tool/ToolContext.h"

namespace parsleypaddle {

/// Makes `document` the version after `base`, waits until it is in force on every daemon that can be found, shows
/// progress and names those that were not reached.
ExitCode applyAndWait(ToolContext&, ConfigurationVersion base, const std::string& document);

/// The configuration in force at a daemon.
absl::StatusOr<Configuration> fetchConfiguration(ToolContext&);

/// Fetches the configuration in force, lets `change` edit it, and applies the result.
/// `change` answers an error to leave it as it is.
ExitCode changeConfiguration(ToolContext&, const std::function<absl::Status(Configuration&)>& change);

}
