#pragma once

#include "overhead/LoadMeter.h"

#include <memory>

namespace parsleypaddle {

/// Where the load goes.
struct LoadAddress {
    std::string host;
    uint16_t port { 0 };
};

/// What each client sends, over and over.
enum class LoadStatement : uint8_t {
    /// One record by its key.
    Read,
    /// One record replaced.
    Write,
};

/// What a group of clients needs to know.
struct LoadPlan {
    LoadAddress address;
    LoadStatement statement { LoadStatement::Read };
    size_t connections { 1 };
    /// Tells the clients of one loop from those of another.
    size_t worker { 0 };
};

/// Clients of one loop: each holds a connection and sends its next statement when the last one is answered.
class LoadClients {
public:
    virtual ~LoadClients() = default;

    /// Clients that go through the daemon's caller interface.
    static std::unique_ptr<LoadClients> throughDaemon(PollLoop&, LoadMeter&, const LoadPlan&);
    /// Clients that go straight to a target by libpq.
    static std::unique_ptr<LoadClients> straightToTarget(PollLoop&, LoadMeter&, const LoadPlan&);
};

}
