#pragma once

#include "configuration/Configuration.h"
#include "groups/TargetStatus.h"
#include "statements/Rows.h"
#include "targets/RelayStep.h"
#include "targets/TargetSession.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>

namespace parsleypaddle {

/// The operation that a TargetBatch carries out.
enum class TargetOperation : uint8_t {
    /// Reads the target's status without changing anything.
    Status,
    /// Makes the target a replica that refuses every term below `term`. Succeeds once per term.
    Fence,
    /// Makes the target primary at `term`. It must have been fenced at the same term.
    Promote,
    /// Runs one read, provided that the target is the primary of `term` or of a later term or replicates from it, has applied
    /// `minimumPosition`, and its data is at most `greatestAge` old.
    Read,
    /// Runs one write and adds its ledger entry in the same transaction, provided that the target is primary at `term`.
    Write,
    /// Opens a transaction and runs the statement in it, provided that the target is primary at `term`.
    Begin,
    /// Runs the statement in the open transaction.
    Continue,
    /// Adds the ledger entry to the open transaction and commits it.
    Commit,
    Rollback,
    /// Determines whether a write ran: looks up its ledger entry, or adds one that prevents the write from running later.
    Settle,
    /// Runs `steps` in order without checking a term or adding a transaction; the holder of the connection does both.
    Relay,
};

/// Identifies a write in the ledger, the target's record of executed requests.
struct LedgerKey {
    OrganisationId organisation;
    RequestId request;
    /// Hash of the statement, which detects a request id that is reused for another statement.
    uint64_t fingerprint { 0 };
};

/// A request to a target: the conditions that the target checks, and the statements that it then runs.
struct TargetBatch {
    TargetOperation operation { TargetOperation::Status };
    Term term;
    LogPosition minimumPosition;
    /// Maximum age of the target's data for a Read; nullopt for no limit.
    std::optional<Milliseconds> greatestAge;
    LedgerKey ledgerKey;
    SqlStatement statement;
    /// The statements of a Relay operation, sent together.
    std::vector<RelayStep> steps;
};

/// A target's reply to a batch that succeeded.
struct TargetReply {
    /// The target's status after the batch. `position` includes everything that the batch wrote.
    TargetStatus status;
    Rows rows;
    /// Whether the write had run before: its ledger entry existed, so it did not run again.
    bool ranBefore { false };
    /// One answer for each of the batch's `steps`.
    std::vector<RelayAnswer> answers;
};

/// A connection to a target, which runs one batch at a time.
/// Errors: after TransactionUnknown (no transaction is open on the connection), TermChanged, NoPrimary, TargetBehind,
/// TargetLeaving, StatementFailed, RequestIdReused and RequestSettled the batch has no effect, except that an open transaction
/// may have been rolled back. After ConnectionClosed nothing was sent. After TargetSilent (no answer before the timeout),
/// ConnectionLost and AnswersOutOfStep (what the target sent does not fit the batch) the batch may have run. After these four the
/// connection must not be used again. Errors of single statements of a Relay operation are returned in TargetReply::answers.
class TargetConnection {
public:
    using Done = std::function<void(absl::StatusOr<TargetReply>)>;

    /// Closes the connection. The callback of an unfinished batch is not called.
    virtual ~TargetConnection() = default;

    virtual void run(const TargetBatch&, Milliseconds timeout, Done) = 0;

    /// False once the connection is known to be closed.
    virtual bool isOpen() const { return true; }

    /// The connection's session at the target. The pool applies the answers to it.
    TargetSession& session() { return m_session; }
    const TargetSession& session() const { return m_session; }

private:
    TargetSession m_session;
};

/// Opens connections to targets.
class TargetConnector {
public:
    using Done = std::function<void(absl::StatusOr<std::unique_ptr<TargetConnection>>)>;

    virtual ~TargetConnector() = default;

    /// Opens a connection in the name of the organisation, on which statements of no other organisation may run. An empty name
    /// stands for no organisation. Connections to peers serve all organisations. Errors: TargetUnreachable when the connection is
    /// refused or not open within `timeout`, Overloaded when the target accepts no more connections.
    virtual void connect(const TargetConfiguration&, const OrganisationId&, Milliseconds timeout, Done) = 0;
};

}
