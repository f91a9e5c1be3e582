#pragma once

#include "directory/RouteTable.h"
#include "relay/CallerSessionState.h"
#include "relay/HomeDelays.h"
#include "targets/RelayStep.h"

#include <functional>
#include <memory>
#include <optional>

namespace parsleypaddle {

class RelayTransaction;

/// The outcome of a statement.
struct RelayResult {
    RelayAnswer answer;
    /// The transaction that the statement opened, unless it has ended.
    std::shared_ptr<RelayTransaction> transaction;
    /// Log mark of the commit that the statement made, if any.
    std::optional<LogMark> committed;
};

/// A statement to be sent to a target, with the session state that it needs.
struct RelayJob {
    using Done = std::function<void(RelayResult)>;

    std::shared_ptr<const Route> route;
    /// For logs, metrics and queues; see StatementIdentity::caller.
    OrganisationId caller;
    /// The organisation in whose name the statement runs at a target; empty where callers are not identified.
    OrganisationId organisation;
    /// Whether another daemon is told for whom it runs the statement.
    bool hasOrganisations { false };
    RelayStep step;
    /// Definition of the prepared statement that the step executes; empty for other steps.
    std::string definition;
    bool isWrite { false };
    /// Begin or BeginRead if the statement is the first of a transaction; unset otherwise.
    std::optional<RelayKind> beginKind;
    std::shared_ptr<const CallerSessionState> sessionState;
    /// The last commit of the session in the route's group. Its term is that of the answer that acknowledged it, which this daemon may
    /// not know as the group's term yet.
    std::optional<LogMark> lastCommit;
    /// Whether another daemon forwarded the statement. It is not forwarded a second time.
    bool isForwarded { false };
    Instant arrived;
    /// Expires with the session that sent the statement. A statement that is still queued then is dropped.
    std::weak_ptr<const void> requester;
    Done done;

    /// What another daemon is told when the statement is forwarded at `now`.
    std::optional<ForwardedFor> forwardedFor(Instant now) const
    {
        if (!hasOrganisations)
            return std::nullopt;
        return ForwardedFor { organisation, now - arrived };
    }

    /// Whether only the primary may run the statement.
    bool needsPrimary() const
    {
        const bool mayWrite = beginKind ? *beginKind == RelayKind::Begin : isWrite;
        return mayWrite || route->readConsistency == ReadConsistency::Primary;
    }

    /// The commit that a read must see; nullopt if its route does not ask for the session's own commits.
    std::optional<LogMark> requiredCommit() const
    {
        return route->readConsistency == ReadConsistency::ReadYourWrites ? lastCommit : std::nullopt;
    }

    StatementKind kind() const { return { route->database, needsPrimary() }; }
};

}
