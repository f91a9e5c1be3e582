#pragma once

#include "base/EventLoop.h"
#include "standins/ModelStatement.h"
#include "targets/TargetConnection.h"

#include <set>

namespace parsleypaddle {

/// A ledger entry of the model.
struct ModelLedgerEntry {
    LedgerKey key;
    /// Settled as not run: the write can never run.
    bool isTombstone { false };
};

/// One commit in the log of a modelled group.
struct ModelCommit {
    Term term;
    Instant at;
    std::vector<ModelChange> changes;
    std::vector<ModelLedgerEntry> ledger;
};

/// What the model did, for checkers: one entry for each read, commit and promotion that it carried out.
struct ModelEvent {
    Instant at;
    TargetId target;
    TargetOperation operation { TargetOperation::Status };
    Term term;
    /// Position of the commit, or the applied position that a read saw.
    LogPosition position;
    OrganisationId organisation;
    RequestId request;
    /// The requests whose statements were committed together.
    std::vector<RequestId> committed;
    bool wasLeaving { false };
};

/// The part of one connection's state that lives at the target: its open transaction.
struct ModelTransaction {
    bool isOpen { false };
    Term term;
    std::vector<ModelChange> changes;
    std::vector<RequestId> requests;
};

/// An in-memory database group with asynchronous replication, terms, fencing and a ledger: the stand-in of the
/// platform's groups. It has no threads or timers; replicas take log lazily whenever something is asked.
class GroupModel {
public:
    GroupModel(const EventLoop&, DatabaseId, const std::vector<TargetId>&);

    /// Carries out a batch at a target. `transaction` belongs to the connection.
    absl::StatusOr<TargetReply> execute(const TargetId&, const TargetBatch&, ModelTransaction& transaction);

    /// The status of a target.
    TargetStatus statusOf(const TargetId&);

    /// Time from a commit at the primary until a replica holds it, and from there until it has applied it.
    void setReplication(const TargetId&, Milliseconds delay, Milliseconds applyLag);

    /// Cuts a target off from the log of all others, or joins it again.
    void setIsolated(const TargetId&, bool isIsolated);

    /// Marks a target as leaving.
    void setLeaving(const TargetId&, bool isLeaving);

    const std::vector<ModelEvent>& history() const { return m_history; }

    /// The log of the primary of the highest term: what has survived.
    std::vector<ModelCommit> survivingLog();

    /// The records as that primary sees them.
    ModelRecords survivingRecords();

private:
    struct ModelTarget;

    ModelTarget& find(const TargetId&);
    ModelTarget* primaryFor(const ModelTarget& replica);
    void replicate();
    void replicateTo(ModelTarget& replica);
    void follow(ModelTarget& replica, const ModelTarget& primary);
    void apply(ModelTarget&, size_t upTo);
    TargetStatus statusOf(const ModelTarget&) const;

    absl::Status checkWritable(const ModelTarget&, Term) const;
    absl::StatusOr<TargetReply> fence(ModelTarget&, Term);
    absl::StatusOr<TargetReply> promote(ModelTarget&, const TargetBatch&);
    absl::StatusOr<TargetReply> read(ModelTarget&, const TargetBatch&);
    absl::StatusOr<TargetReply> write(ModelTarget&, const TargetBatch&);
    absl::StatusOr<TargetReply> settle(ModelTarget&, const TargetBatch&);
    absl::StatusOr<TargetReply> begin(ModelTarget&, const TargetBatch&, ModelTransaction&);
    absl::StatusOr<TargetReply> proceed(ModelTarget&, const TargetBatch&, ModelTransaction&);
    absl::StatusOr<TargetReply> commit(ModelTarget&, const TargetBatch&, ModelTransaction&);
    absl::StatusOr<bool> enterLedger(const ModelTarget&, const LedgerKey&) const;
    TargetReply append(ModelTarget&, const TargetBatch&, ModelCommit, std::vector<RequestId> committed);
    TargetReply replyOf(const ModelTarget&, Rows rows = {}, bool ranBefore = false) const;
    void record(const ModelTarget&, const TargetBatch&, LogPosition, std::vector<RequestId> committed = {});

    const EventLoop& m_loop;
    DatabaseId m_database;
    std::vector<std::shared_ptr<ModelTarget>> m_targets;
    std::vector<ModelEvent> m_history;
};

}
