#pragma once

#include "control/ControlTypes.h"
#include "tool/ExitCode.h"
#include "tool/ToolOptions.h"

#include <functional>
#include <iosfwd>
#include <json/value.h>

namespace parsleypaddle {

/// What the tool reaches the world through; tests put their own in.
struct ToolPorts {
    using Call = std::function<ControlResult(const ControlAddress&, const std::string& method, const std::string& parametersJson, Milliseconds timeout)>;

    std::ostream& out;
    std::ostream& err;
    /// Calls a daemon's control method; safe on several threads at once.
    Call call;
    std::function<void(Milliseconds)> pause;
    std::function<Instant()> now;
};

/// One run of a command.
struct ToolContext {
    ToolPorts& ports;
    ToolOptions options;
    /// The words after the command's own.
    std::vector<std::string> arguments;
};

/// Tells people of an error, and gives the exit code for it.
ExitCode fail(ToolContext&, const absl::Status&);

/// Prints a JSON value for programs.
void printJson(ToolContext&, const Json::Value&);

/// Reads a whole file; "-" is the standard input. UnknownResource when it cannot be read.
absl::StatusOr<std::string> readFile(const std::string& path);

/// A time to the millisecond.
std::string formatMoment(Instant);

}
