#pragma once

#include "configuration/Configuration.h"
#include "groups/TargetStatus.h"
#include "statements/Rows.h"
#include "targets/RelayStep.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>

namespace parsleypaddle {

/// What one batch asks of a target.
enum class TargetOperation : uint8_t {
    /// Its status; changes nothing.
    Status,
    /// Refuse every term below `term` from now on. Granted once per term.
    Fence,
    /// Become primary at `term`, which it was fenced at.
    Promote,
    /// One read, if the target's log follows the primary of `term` or of a later one, and the target has applied
    /// `minimumPosition` and is at most `greatestAge` old.
    Read,
    /// One write in a transaction of its own, together with its ledger entry, if it is primary at `term`.
    Write,
    /// Opens a transaction and runs the statement in it, if it is primary at `term`.
    Begin,
    /// Runs the statement in the open transaction.
    Continue,
    /// Adds the ledger entry and commits.
    Commit,
    Rollback,
    /// Settles whether a write ran: finds its ledger entry, or writes one that keeps it from ever running.
    Settle,
    /// Runs `steps` in order as they are. The holder of the connection answers for guards and transactions.
    Relay,
};

/// The ledger's key of a write, and a hash of its statement that tells reuse for another one.
struct LedgerKey {
    ShopId shop;
    RequestId request;
    uint64_t fingerprint { 0 };
};

/// One round trip to a target: the guard, the work and the position after it.
struct TargetBatch {
    TargetOperation operation { TargetOperation::Status };
    Term term;
    LogPosition minimumPosition;
    /// Greatest age accepted by a Read; nullopt accepts any.
    std::optional<Milliseconds> greatestAge;
    LedgerKey ledgerKey;
    SqlStatement statement;
    /// What a Relay runs, sent in one piece.
    std::vector<RelayStep> steps;
};

/// A target's answer to a batch that it carried out.
struct TargetReply {
    /// Its status after the batch; `position` is at or past what the batch wrote.
    TargetStatus status;
    Rows rows;
    /// The ledger had the entry already: the write ran before, and did not run again.
    bool ranBefore { false };
    /// One for each step of a Relay.
    std::vector<RelayAnswer> answers;
};

/// One connection to a target. It runs one batch at a time.
/// Errors: TermChanged, NoPrimary, TargetBehind, TargetLeaving, StatementFailed, RequestIdReused, RequestSettled (none of
/// them ran), TargetSilent (no answer in time) and ConnectionLost (the batch may have run). After the last two the
/// connection is dead and is dropped.
class TargetConnection {
public:
    using Done = std::function<void(absl::StatusOr<TargetReply>)>;

    /// Closes the connection; a batch under way gets no answer any more.
    virtual ~TargetConnection() = default;

    virtual void run(const TargetBatch&, Milliseconds timeout, Done) = 0;

    /// False once it is known to be closed.
    virtual bool isOpen() const { return true; }

    /// What the holders of this connection have set up in its session at the target.
    TargetImage& image() { return m_image; }

private:
    TargetImage m_image;
};

/// Opens connections to targets.
class TargetConnector {
public:
    using Done = std::function<void(absl::StatusOr<std::unique_ptr<TargetConnection>>)>;

    virtual ~TargetConnector() = default;

    /// TargetUnreachable when it is refused, or not open within `timeout`; Overloaded when the target is full.
    virtual void connect(const TargetConfiguration&, Milliseconds timeout, Done) = 0;
};

}
