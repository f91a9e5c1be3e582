#pragma once

#include "overhead/LoadClients.h"

#include <absl/status/statusor.h>

namespace parsleypaddle {

/// The command line of parsleypaddle-overhead.
struct OverheadOptions {
    LoadAddress daemon;
    LoadAddress target;
    /// The daemon's process; 0 leaves its memory out.
    int pid { 0 };
    /// A page of the daemon that idle connections get once.
    std::string page { "/health" };
    std::vector<size_t> connections { 1, 32, 1000 };
    size_t idleConnections { 1000 };
    size_t workers { 2 };
    LoadTimes times;
    LoadStatement statement { LoadStatement::Read };
    bool isJson { false };

    static absl::StatusOr<OverheadOptions> parse(int argc, char** argv);
};

}
