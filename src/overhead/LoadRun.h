#pragma once

#include "overhead/LoadClients.h"

#include <absl/status/statusor.h>

namespace parsleypaddle {

/// What one load gave.
struct LoadResult {
    double perSecond { 0 };
    Milliseconds median;
    Milliseconds p99;
    uint64_t failures { 0 };
    std::string lastFailure;
};

using StartClients = std::unique_ptr<LoadClients> (*)(PollLoop&, LoadMeter&, const LoadPlan&);

/// Runs the plan's connections, shared among `workers` threads, for the given times.
absl::StatusOr<LoadResult> runLoad(StartClients, const LoadPlan&, size_t workers, const LoadTimes&);

}
