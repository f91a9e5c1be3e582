#pragma once

#include "overhead/LoadClients.h"

#include <absl/status/statusor.h>

namespace parsleypaddle {

/// Resident memory of a process, in kilobytes, before and with idle connections.
struct IdleMemory {
    size_t connections { 0 };
    uint64_t before { 0 };
    uint64_t after { 0 };

    double perConnection() const { return (static_cast<double>(after) - static_cast<double>(before)) / static_cast<double>(connections); }
};

/// Opens keep-alive connections that have each had one page (`path`) and then idle, and reads what process `pid` holds.
absl::StatusOr<IdleMemory> measureIdleMemory(const LoadAddress&, const std::string& path, int pid, size_t connections);

}
