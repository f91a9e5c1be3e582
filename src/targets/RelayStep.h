#pragma once

#include "groups/LogMark.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleypaddle {

/// What a statement asks for.
enum class RelayKind : uint8_t {
    /// Opens a transaction that may write.
    Begin,
    /// Opens a transaction that only reads.
    BeginRead,
    Commit,
    Rollback,
    Read,
    Write,
    /// Sets a value of the session.
    SetValue,
    /// Names a statement for later use.
    Prepare,
    /// Runs a prepared statement.
    Execute,
    /// Forgets a prepared statement.
    Deallocate,
    /// A text that is none of the others.
    Unknown,

    // Sent only by the daemon itself.

    /// Forgets the values and the prepared statements of the session at the target.
    Reset,
    /// Asks a target for its role, term and position.
    Status,
    /// Makes a primary of a lower term a replica.
    Demote,
};

/// One statement on its way to a target.
struct RelayStep {
    RelayKind kind { RelayKind::Unknown };
    /// Empty for the daemon's own statements.
    StatementId id;
    /// The caller's text, unchanged; empty for the daemon's own statements and for Execute.
    std::string text;
    /// Of SetValue: the value's name. Of Prepare, Execute and Deallocate: the prepared statement's name.
    std::string name;
    /// Of SetValue: the value. Of Prepare: the definition. Of Execute: the arguments.
    std::string argument;
    /// Whether Prepare names a write.
    bool isWrite { false };
    /// The log that the target must hold before it runs a read or opens a transaction.
    std::optional<LogMark> after;
    /// Of Demote: the term below which a primary gives way.
    Term term;
};

/// Why a statement has no result.
enum class RelayError : uint8_t {
    None,

    // The statement did not run, and nothing of its transaction is kept.
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    Misrouted,
    TooManyConnections,
    UnknownDatabase,
    Malformed,
    UnknownStatement,

    // The statement ran, or may have run.
    Failed,
    InDoubt,
    TimedOut,
};

/// Where a session stands after an answer.
enum class TransactionState : uint8_t {
    Idle,
    Open,
    /// The transaction can only be ended.
    Failed,
};

/// What a target says of itself when asked.
struct RoleReport {
    bool isPrimary { false };
    Term term;
    /// The end of the log that it has received, whether it has applied it or not.
    LogMark received;
};

/// A target's answer to one statement.
struct RelayAnswer {
    RelayError error { RelayError::None };
    std::string errorText;
    std::vector<std::string> rows;
    /// What the target signs a success with; empty for answers of the daemon itself.
    std::string signature;
    TransactionState state { TransactionState::Idle };
    /// The end of the target's log as it answered.
    std::optional<LogMark> mark;
    /// The answer to Status.
    std::optional<RoleReport> report;
};

/// The session of one connection at its target: what was set up there, in the order of its use.
struct TargetImage {
    std::map<std::string, std::string> values;
    /// Names of prepared statements by their definition.
    std::map<std::string, std::string> prepared;
};

}
