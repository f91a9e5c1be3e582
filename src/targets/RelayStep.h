#pragma once

#include "base/Time.h"
#include "groups/LogMark.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleypaddle {

/// The kind of a statement in the relay protocol.
enum class RelayKind : uint8_t {
    /// Opens a read-write transaction.
    Begin,
    /// Opens a read-only transaction.
    BeginRead,
    Commit,
    Rollback,
    Read,
    Write,
    /// Sets a session variable.
    SetValue,
    /// Defines a prepared statement.
    Prepare,
    /// Executes a prepared statement.
    Execute,
    /// Drops a prepared statement.
    Deallocate,
    /// The text could not be parsed as any other kind.
    Unknown,
    /// The statement was longer than a message may be. Its text is not kept.
    TooLong,

    // The remaining kinds are sent by daemons only.

    /// Clears the variables and the prepared statements of the session.
    Reset,
    /// Requests the target's role, its term and the end of its log.
    Status,
    /// Turns the target into a replica if it is primary in a term below RelayStep::term.
    Demote,
};

/// For whom another daemon forwards a statement.
struct ForwardedFor {
    /// Empty for a public route.
    OrganisationId organisation;
    /// How long the statement has waited since the caller sent it.
    Milliseconds waited;
};

/// One statement of the relay protocol, as sent by a caller or to a target or peer daemon.
struct RelayStep {
    RelayKind kind { RelayKind::Unknown };
    /// Empty for statements that the daemon adds itself.
    StatementId id;
    /// The caller's text, unchanged; empty for statements that the daemon adds itself.
    std::string text;
    /// SetValue: name of the session variable. Prepare, Execute and Deallocate: name of the prepared statement.
    std::string name;
    /// SetValue: the value. Prepare: the statement's definition. Execute: the arguments.
    std::string argument;
    /// Prepare: whether the prepared statement is a write.
    bool isWrite { false };
    /// Log position that the target must have applied before it runs a read or opens a transaction; unset for none.
    std::optional<LogMark> requiredMark;
    /// Set between daemons only, where the configuration has organisations.
    std::optional<ForwardedFor> forwardedFor;
    /// Demote: a primary in a term below this one becomes a replica.
    Term term;
};

/// Why a statement failed; None for success.
enum class RelayError : uint8_t {
    None,

    // The statement has no effect: it did not run, or it was a read whose answer was discarded, or its transaction was not
    // committed.
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    Misrouted,
    TooManyConnections,
    UnknownDatabase,
    Malformed,
    UnknownStatement,
    /// The caller's key is not known or was withdrawn.
    Unauthorized,

    // The statement ran or may have run, except for a TimedOut that was returned before the statement was sent.
    Failed,
    InDoubt,
    TimedOut,
};

/// Transaction state of a session after an answer.
enum class TransactionState : uint8_t {
    Idle,
    Open,
    /// A statement failed, or the daemon rolled the transaction back. Only COMMIT and ROLLBACK are accepted.
    Failed,
};

/// The answer to a Status statement.
struct RoleReport {
    bool isPrimary { false };
    Term term;
    /// End of the log received by the target; part of it may not be applied yet.
    LogMark received;
};

/// The answer to one statement, from a target or from a daemon.
struct RelayAnswer {
    RelayError error { RelayError::None };
    std::string errorText;
    std::vector<std::string> rows;
    /// Signature that the target adds to a success; empty for answers made by the daemon.
    std::string signature;
    TransactionState state { TransactionState::Idle };
    /// End of the target's log at the time of the answer.
    std::optional<LogMark> mark;
    /// Set in answers to Status.
    std::optional<RoleReport> report;
};

/// The first answer that is an error; the end if there is none.
inline std::vector<RelayAnswer>::const_iterator findError(const std::vector<RelayAnswer>& answers)
{
    return std::find_if(answers.begin(), answers.end(), [](const RelayAnswer& it) { return it.error != RelayError::None; });
}

}
