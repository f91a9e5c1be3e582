#pragma once

#include "relay/RelayGroup.h"
#include "relay/RelayTransaction.h"
#include "scheduling/StatementTimes.h"

#include <memory>
#include <optional>
#include <set>

namespace parsleypaddle {

/// Runs one statement outside a transaction, or the first statement of a transaction. May retry it at other
/// targets or peer daemons, but not if a write could run twice.
class RelayRun : public std::enable_shared_from_this<RelayRun> {
public:
    static void startStatement(RelayGroup&, RelayJob);

private:
    class Use;

    RelayRun(RelayGroup&, RelayJob);

    void tryNextDestination();
    void tryDestination(const StatementDestination&);
    /// Logs and counts a read of a session that is not required to see the session's last commit.
    void reportUnrequiredCommit();
    void connectionAcquired(absl::StatusOr<std::shared_ptr<RelaySlot>>);
    void prepareSession();
    void sessionPrepared(absl::StatusOr<std::vector<RelayAnswer>>);
    void sendStatement();
    void statementAnswered(absl::StatusOr<std::vector<RelayAnswer>>);
    void connectionFailed(const absl::Status&);
    void retryOrRefuse(const RelayAnswer&);
    void reportUnreachable();
    void statementSucceeded(RelayAnswer);
    TransactionDestination transactionDestination() const;
    void recordSuccess(const RelayAnswer&);
    void recordAcknowledgedWrite(const RelayAnswer&);
    void primaryAbandoned();
    void refuse(RelayError, std::string_view why);
    void finish(RelayAnswer);
    /// Returns the connection to its pool, after rolling back a transaction opened on it.
    void releaseSlot();

    /// Whether `attempt` is the latest one and the statement is unfinished; callbacks of other attempts are ignored.
    bool isCurrent(uint32_t attempt) const { return !m_isDone && attempt == m_attempts; }
    /// Whether running the statement twice is harmless.
    bool isRepeatable() const { return !m_job.isWrite && m_job.step.kind != RelayKind::Commit; }
    bool mayRetry();
    Milliseconds timeLeft() const;
    WorkItem work() const;
    StatementTimes times() const;

    RelayGroup& m_group;
    RelayJob m_job;
    std::set<TargetId> m_tried;
    uint32_t m_attempts { 0 };
    StatementDestination m_destination;
    std::shared_ptr<RelaySlot> m_slot;
    /// While a home has the statement and has not answered it.
    std::unique_ptr<HomeDelays::Outstanding> m_outstanding;
    std::unique_ptr<Use> m_primaryUse;
    std::string m_preparedName;
    Instant m_sentAt;
    /// Set for a write that is sent to the primary.
    std::optional<SentWrite> m_sentWrite;
    /// Whether the statement was sent and is not answered yet.
    bool m_isAwaitingAnswer { false };
    /// Whether a transaction was opened on the connection.
    bool m_isTransactionOpen { false };
    bool m_isDone { false };
    RelayResult m_result;
};

}
