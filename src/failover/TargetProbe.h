#pragma once

#include "base/EventLoop.h"
#include "targets/TargetConnection.h"

#include <functional>
#include <optional>

namespace parsleypaddle {

/// Result of one status request to a target.
struct ProbeResult {
    /// Whether the target answered, even if only that it accepts no more connections.
    bool hasAnswered { false };
    /// Whether the request failed within 100 ms, as it does when nothing listens on the port, instead of timing out.
    bool failedAtOnce { false };
    std::optional<RoleReport> report;
};

/// Requests a target's role over a new connection, because an existing connection may be broken while the target still works.
void probeTarget(EventLoop&, TargetConnector&, const TargetConfiguration&, std::function<void(ProbeResult)>);

/// Asks a primary of a lower term than `term` to become a replica. Ignores the result, because the target also receives the
/// new term from the new primary.
void demoteTarget(TargetConnector&, const TargetConfiguration&, Term term);

}
