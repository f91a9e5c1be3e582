#pragma once

#include "base/Time.h"
#include "control/ControlTypes.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <vector>

namespace parsleypaddle {

/// The command line, read but not yet checked against its command.
struct ToolOptions {
    std::vector<std::string> words;
    /// Names of the options given, for a command to refuse those that it does not take.
    std::vector<std::string> given;

    std::vector<ControlAddress> daemons;
    std::string keyFile;
    bool isJson { false };
    bool wantsHelp { false };
    /// How long `apply` waits until a change is in force everywhere.
    Milliseconds timeout { 15'000 };

    std::string author;
    std::optional<uint64_t> base;
    std::string id;
    std::string database;
    std::string organisation;
    std::string workload;
    std::string setting;
    std::string value;
    std::string reason;
    std::string until;
    std::string slots;
    std::string connections;
    /// Each "ID=HOST:PORT@FAILURE-DOMAIN".
    std::vector<std::string> targets;
};

/// Reads a command line. ValueOutOfRange or UnknownField with a line for people.
absl::StatusOr<ToolOptions> parseToolOptions(const std::vector<std::string>& arguments);

/// What an option is for, for help; empty for an unknown one.
std::string helpOfOption(const std::string& name);

}
