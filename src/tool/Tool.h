#pragma once

#include "tool/ToolContext.h"

namespace parsleypaddle {

/// Runs one command line, the program's name left out.
ExitCode runTool(const std::vector<std::string>& arguments, ToolPorts&);

/// The key that the options name, or the environment; KeyRefused when there is none.
absl::StatusOr<std::string> loadKey(const std::string& keyFile);

}
