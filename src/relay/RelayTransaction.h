#pragma once

#include "relay/RelayGroup.h"

#include <memory>

namespace parsleypaddle {

/// Where a transaction runs, and which daemon checks the lease for it.
enum class TransactionDestination : uint8_t {
    /// At the primary, under this daemon's lease.
    Primary,
    /// At the primary, through a peer daemon that checks its own lease.
    PrimaryThroughPeer,
    /// A read-only transaction at a replica or through a peer daemon.
    ReadOnly,
};

/// A caller's open transaction, which holds one connection until it ends.
class RelayTransaction : public std::enable_shared_from_this<RelayTransaction> {
public:
    using Done = std::function<void(RelayResult)>;

    /// `hasWritten`: whether the transaction's first statement, which has run, was a write.
    static std::shared_ptr<RelayTransaction> create(RelayGroup&, std::shared_ptr<RelaySlot>, TransactionDestination, bool hasWritten);
    ~RelayTransaction();

    /// Runs the next statement or the commit. An error ends the transaction.
    void run(RelayJob);

    void rollBack();

private:
    class Use;

    RelayTransaction(RelayGroup&, std::shared_ptr<RelaySlot>, TransactionDestination, bool hasWritten);

    void prepareSession();
    void sessionPrepared(const absl::StatusOr<std::vector<RelayAnswer>>&);
    void sendStatement();
    void statementAnswered(absl::StatusOr<std::vector<RelayAnswer>>);
    void connectionFailed(const absl::Status&);
    void statementFailed(RelayAnswer);
    void transactionCommitted(RelayAnswer);
    void primaryAbandoned();
    void endWithError(RelayError, std::string_view why);
    void finish(RelayAnswer);
    Milliseconds timeLeft() const;
    bool isCommit() const { return m_job.step.kind == RelayKind::Commit; }
    /// The error of a statement whose outcome is unknown. Nothing of a transaction is kept unless its commit has run.
    RelayError errorOfUnknownOutcome() const { return isCommit() && m_isStatementSent ? RelayError::InDoubt : RelayError::Aborted; }
    bool mayAcceptAnswer() const;
    void recordAcknowledgedCommit(const RelayAnswer&);

    RelayGroup& m_group;
    std::shared_ptr<RelaySlot> m_slot;
    TransactionDestination m_destination;
    std::unique_ptr<Use> m_primaryUse;
    RelayJob m_job;
    RelayStep m_step;
    bool m_hasWritten { false };
    bool m_isRunning { false };
    /// Whether the running statement itself was sent, after what prepares the session for it.
    bool m_isStatementSent { false };
    uint32_t m_busyRetries { 0 };
    Instant m_sentAt;
    /// Set for the commit of a transaction that wrote at the primary.
    std::optional<SentWrite> m_sentCommit;
    RelayResult m_result;
};

}
