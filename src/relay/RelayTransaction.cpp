#include "relay/RelayTransaction.h"

#include "base/ResultCode.h"
#include "relay/StatementLog.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// How often and after which delay a statement is retried at a busy target. The transaction holds its connection already,
    /// so it cannot use another target.
    constexpr uint32_t maxBusyRetries = 3;
    constexpr Milliseconds busyRetryDelay { 15 };

}

/// Registers the transaction with the group while it uses the primary.
class RelayTransaction::Use final : public PrimaryUse {
public:
    explicit Use(RelayTransaction& transaction)
        : PrimaryUse(transaction.m_group)
        , m_transaction(transaction)
    {
    }

    void abandon() override { m_transaction.primaryAbandoned(); }

private:
    RelayTransaction& m_transaction;
};

std::shared_ptr<RelayTransaction> RelayTransaction::create(RelayGroup& group, std::shared_ptr<RelaySlot> slot, TransactionDestination destination, bool hasWritten)
{
    return std::shared_ptr<RelayTransaction>(new RelayTransaction(group, std::move(slot), destination, hasWritten));
}

RelayTransaction::RelayTransaction(RelayGroup& group, std::shared_ptr<RelaySlot> slot, TransactionDestination destination, bool hasWritten)
    : m_group(group)
    , m_slot(std::move(slot))
    , m_destination(destination)
    , m_hasWritten(hasWritten)
{
    if (m_destination == TransactionDestination::Primary)
        m_primaryUse = std::make_unique<Use>(*this);
    m_slot->holdForTransaction();
}

// The caller may have disconnected during a statement. The next user of the connection must not find an open transaction.
RelayTransaction::~RelayTransaction()
{
    rollBack();
}

void RelayTransaction::run(RelayJob job)
{
    m_job = std::move(job);
    m_result = {};
    m_isRunning = true;
    m_busyRetries = 0;
    m_hasWritten = m_hasWritten || m_job.isWrite;
    m_isStatementSent = false;
    if (!m_slot)
        return endWithError(RelayError::Aborted, "the transaction was rolled back before this statement");
    prepareSession();
}

// The statement is sent only when the session is as its caller expects it. A COMMIT behind a refused step would take effect.
void RelayTransaction::prepareSession()
{
    SessionSetup setup = planSessionSetup(*m_job.sessionState, m_job.definition, m_slot->session());
    m_step = m_job.step;
    if (!setup.preparedName.empty())
        m_step.name = setup.preparedName;
    if (setup.steps.empty())
        return sendStatement();
    m_sentAt = m_group.loop().now();
    if (m_primaryUse)
        m_primaryUse->setWaitingSince(m_sentAt);
    recordSessionSetup(m_group, setup);
    m_slot->run(std::move(setup.steps), timeLeft(), [self = shared_from_this()](const absl::StatusOr<std::vector<RelayAnswer>>& answers) { self->sessionPrepared(answers); });
}

void RelayTransaction::sessionPrepared(const absl::StatusOr<std::vector<RelayAnswer>>& answers)
{
    if (!m_isRunning)
        return;
    if (!answers.ok())
        return connectionFailed(answers.status());
    const auto refused = findError(*answers);
    if (refused == answers->end())
        return sendStatement();
    logSessionSetupRefused(m_group, m_job, *m_slot, *refused);
    endWithError(RelayError::Aborted, refused->errorText);
}

void RelayTransaction::sendStatement()
{
    m_sentAt = m_group.loop().now();
    if (m_slot->isAtPeer())
        m_step.forwardedFor = m_job.forwardedFor(m_sentAt);
    if (m_primaryUse)
        m_primaryUse->setWaitingSince(m_sentAt);
    if (m_primaryUse && isCommit() && m_hasWritten)
        m_sentCommit = m_group.sentNow(*m_slot);
    m_isStatementSent = true;
    m_slot->run({ m_step }, timeLeft(), [self = shared_from_this()](absl::StatusOr<std::vector<RelayAnswer>> answers) { self->statementAnswered(std::move(answers)); });
}

Milliseconds RelayTransaction::timeLeft() const
{
    return std::max(Milliseconds(0), m_job.arrived + m_job.route->statementTimeout - m_group.loop().now());
}

bool RelayTransaction::mayAcceptAnswer() const
{
    return !m_primaryUse || m_group.mayAcceptAnswer(m_primaryUse->term());
}

void RelayTransaction::statementAnswered(absl::StatusOr<std::vector<RelayAnswer>> answers)
{
    if (!m_isRunning)
        return;
    if (m_primaryUse)
        m_primaryUse->setWaitingSince(std::nullopt);
    if (!answers.ok())
        return connectionFailed(answers.status());
    RelayAnswer& answer = answers->front();
    if (answer.error != RelayError::None)
        return statementFailed(std::move(answer));
    if (!mayAcceptAnswer())
        return endWithError(errorOfUnknownOutcome(), "the lease expired or the term changed before the primary answered");
    if (isCommit())
        return transactionCommitted(std::move(answer));
    finish(std::move(answer));
}

void RelayTransaction::connectionFailed(const absl::Status& status)
{
    const ResultCode code = resultCodeOf(status);
    const bool wasSent = code != ResultCode::ConnectionClosed;
    if (m_primaryUse && wasSent && code != ResultCode::AnswersOutOfStep)
        m_group.observer().primaryFailed(m_group.id());
    m_slot->discard();
    const RelayError error = wasSent ? errorOfUnknownOutcome() : RelayError::Aborted;
    endWithError(error == RelayError::InDoubt && code == ResultCode::TargetSilent ? RelayError::TimedOut : error, std::string(status.message()));
}

void RelayTransaction::statementFailed(RelayAnswer answer)
{
    const bool isOpen = answer.state == TransactionState::Open;
    if (answer.error == RelayError::Busy && isOpen && m_busyRetries < maxBusyRetries) {
        ++m_busyRetries;
        m_group.loop().after(busyRetryDelay, [weak = weak_from_this()] {
            auto self = weak.lock();
            if (self && self->m_isRunning && self->m_slot)
                self->sendStatement();
        });
        return;
    }
    if (answer.error == RelayError::UnknownStatement)
        logPreparedStatementLost(m_group, m_job, *m_slot);
    // If the statement may have run, the caller receives its error; otherwise Aborted.
    const bool mayHaveRun = answer.error == RelayError::Failed || answer.error == RelayError::TimedOut || answer.error == RelayError::InDoubt;
    endWithError(mayHaveRun ? answer.error : RelayError::Aborted, answer.errorText);
}

void RelayTransaction::transactionCommitted(RelayAnswer answer)
{
    if (m_destination != TransactionDestination::ReadOnly && answer.mark) {
        if (m_primaryUse)
            m_group.observer().primaryAnswered(m_group.id());
        m_group.logHistory().addSample(m_sentAt, *answer.mark);
        m_result.committed = answer.mark;
    }
    recordAcknowledgedCommit(answer);
    auto self = shared_from_this();
    m_primaryUse.reset();
    m_slot.reset();
    finish(std::move(answer));
}

void RelayTransaction::recordAcknowledgedCommit(const RelayAnswer& answer)
{
    if (!m_primaryUse || !m_sentCommit)
        return;
    m_group.acknowledgedWrites().add({ m_job.step.id, AcknowledgedKind::Commit, m_slot->target(), m_primaryUse->term(), *m_sentCommit, m_group.loop().now(), answer.mark });
}

void RelayTransaction::primaryAbandoned()
{
    if (!m_isRunning)
        return rollBack();
    m_slot->discard();
    endWithError(errorOfUnknownOutcome(), "the primary is being replaced");
}

void RelayTransaction::rollBack()
{
    m_primaryUse.reset();
    if (m_slot)
        RelaySlot::rollBack(std::move(m_slot));
    m_slot.reset();
}

void RelayTransaction::endWithError(RelayError error, std::string_view why)
{
    logStatement(m_group, "transaction_ended", m_job, m_slot ? m_slot->target() : TargetId(), error, why);
    RelayAnswer answer;
    answer.error = error;
    answer.errorText = std::string(why);
    auto self = shared_from_this();
    rollBack();
    finish(std::move(answer));
}

void RelayTransaction::finish(RelayAnswer answer)
{
    m_isRunning = false;
    recordStatementMetrics(m_group, m_job, answer.error);
    m_result.answer = std::move(answer);
    auto done = std::move(m_job.done);
    done(std::move(m_result));
}

}
