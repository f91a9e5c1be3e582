#pragma once

#include "directory/RouteTable.h"
#include "relay/CallerImage.h"
#include "targets/RelayStep.h"

#include <functional>
#include <memory>
#include <optional>

namespace parsleypaddle {

class RelayTransaction;

/// The newest commit of a session. It means nothing once another term has begun: what survived is in the log of the
/// new primary from its start.
struct SessionMark {
    Term term;
    LogMark mark;
};

/// What became of a statement.
struct RelayResult {
    RelayAnswer answer;
    /// The transaction that the statement opened, if it is still open.
    std::shared_ptr<RelayTransaction> transaction;
    /// Where a commit of this statement stands in the log.
    std::optional<SessionMark> committed;
};

/// A statement that has to be sent to a target.
struct RelayJob {
    using Done = std::function<void(RelayResult)>;

    std::shared_ptr<const Route> route;
    ShopId caller;
    RelayStep step;
    /// Definition of the prepared statement that the step runs; empty for others.
    std::string definition;
    bool isWrite { false };
    /// Begin or BeginRead when the statement is the first of a transaction.
    std::optional<RelayKind> opens;
    std::shared_ptr<const CallerImage> image;
    SessionMark own;
    /// It came from another daemon and is not passed on again.
    bool isPassedOn { false };
    Instant arrived;
    /// Ends with the session that asked: work that was not sent by then need not run.
    std::weak_ptr<const void> asker;
    Done done;

    /// Whether only the primary may run it.
    bool needsPrimary() const
    {
        const bool mayWrite = opens ? *opens == RelayKind::Begin : isWrite;
        return mayWrite || route->readRule == ReadRule::Primary;
    }
};

}
