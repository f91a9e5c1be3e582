#pragma once

#include "base/EventLoop.h"
#include "targets/TargetPort.h"

#include <functional>
#include <optional>

namespace parsleypaddle {

/// What a question to a target brought.
struct ProbeResult {
    /// It answered, be it that it is full.
    bool isAlive { false };
    /// The connection failed at once, as it does when nothing listens, instead of staying silent.
    bool isRefused { false };
    std::optional<RoleReport> report;
};

/// Asks a target for its role over a new connection, since an old one may have gone silent while the target lives.
void probeTarget(EventLoop&, TargetConnector&, const TargetConfiguration&, std::function<void(ProbeResult)>);

/// Tells a primary of a lower term to follow the one of `term`. Without an answer: it learns of it from the new primary.
void demoteTarget(TargetConnector&, const TargetConfiguration&, Term term);

}
