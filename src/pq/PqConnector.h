#pragma once

#include "targets/TargetConnection.h"

#include <memory>
#include <string>

namespace parsleypaddle {

class PollLoop;

/// How connections to targets introduce themselves.
struct PqSettings {
    std::string user { "parsleypaddle" };
    std::string database { "parsleypaddle" };
    /// Shown in the target's list of connections.
    std::string applicationName { "parsleypaddled" };
};

/// Opens connections to targets over PostgreSQL v3 by libpq; docs/TARGETS.md gives the statements they run.
class PqConnector {
public:
    /// Connections and attempts belong to the thread of the loop, which has to outlive them.
    static std::unique_ptr<TargetConnector> create(PollLoop&, PqSettings);
};

}
