#include "relay/RelayRun.h"

#include "base/ResultCode.h"
#include "relay/RelayTransaction.h"
#include "relay/StatementLog.h"

#include <absl/hash/hash.h>
#include <algorithm>

namespace parsleypaddle {

namespace {

    /// Maximum number of attempts for one statement: one for each of a group's three targets, and one more.
    constexpr uint32_t maxAttempts = 4;

}

/// Registers the statement with the group while it uses the primary.
class RelayRun::Use final : public PrimaryUse {
public:
    explicit Use(RelayRun& run)
        : PrimaryUse(run.m_group)
        , m_run(run)
    {
    }

    void abandon() override { m_run.primaryAbandoned(); }

private:
    RelayRun& m_run;
};

void RelayRun::startStatement(RelayGroup& group, RelayJob job)
{
    std::shared_ptr<RelayRun> run(new RelayRun(group, std::move(job)));
    run->tryNextDestination();
}

RelayRun::RelayRun(RelayGroup& group, RelayJob job)
    : m_group(group)
    , m_job(std::move(job))
{
}

void RelayRun::tryNextDestination()
{
    if (auto destination = m_group.chooseDestination(m_job, m_tried))
        return tryDestination(*destination);
    refuse(RelayError::Busy, m_job.needsPrimary() ? "the primary cannot be used now" : "no remaining target or peer daemon can run this read now");
}

void RelayRun::tryDestination(const StatementDestination& destination)
{
    ++m_attempts;
    m_destination = destination;
    m_tried.insert(destination.target->entry().target.id);
    reportUnrequiredCommit();
    if (destination.isPrimary) {
        m_primaryUse = std::make_unique<Use>(*this);
        m_primaryUse->setWaitingSince(m_group.loop().now());
    }
    destination.target->acquire(work(), m_job.organisation, [self = shared_from_this(), attempt = m_attempts](absl::StatusOr<std::shared_ptr<RelaySlot>> slot) {
        if (self->isCurrent(attempt))
            self->connectionAcquired(std::move(slot));
    });
}

void RelayRun::reportUnrequiredCommit()
{
    const auto commit = m_job.requiredCommit();
    const auto& required = m_destination.requiredMark;
    const bool isReplicaRead = !m_job.needsPrimary() && !m_destination.isPrimary;
    if (!commit || !isReplicaRead || (required && !(*required < *commit)))
        return;
    m_group.metrics().count(MetricCounter::SessionCommitsNotRequired);
    m_group.log().write("session_commit_not_required", { { "group", m_group.id().value() }, { "commit", textOf(*commit) }, { "required", required ? textOf(*required) : "" }, { "term", std::to_string(m_group.primary().term.value()) }, { "to", m_destination.target->entry().target.id.value() } });
}

WorkItem RelayRun::work() const
{
    WorkItem work;
    work.isLimitedToShare = !m_job.organisation.isEmpty();
    work.organisation = work.isLimitedToShare ? m_job.organisation : m_job.caller;
    work.workload = ClassName(m_job.route->database.value());
    work.urgency = m_job.route->urgency;
    // Among routes of equal urgency, those with a shorter objective receive a larger share of a busy target.
    constexpr double weightOfOneMillisecond = 1000;
    work.classWeight = weightOfOneMillisecond / std::max(1.0, m_job.route->latencyObjective.count());
    work.statement = absl::HashOf(m_job.route->database, m_job.beginKind.has_value(), m_job.isWrite);
    work.hasEffects = !isRepeatable();
    work.arrived = m_job.arrived;
    const StatementTimes until = times();
    if (until.objective < until.deadline)
        work.objective = until.objective;
    work.deadline = until.deadline;
    return work;
}

StatementTimes RelayRun::times() const
{
    const Route& route = *m_job.route;
    return statementTimes(m_job.arrived, route.latencyObjective, route.statementTimeout, m_group.lateStatements());
}

void RelayRun::connectionAcquired(absl::StatusOr<std::shared_ptr<RelaySlot>> slot)
{
    if (m_job.requester.expired())
        return refuse(RelayError::Busy, "the caller disconnected before the statement was sent");
    if (slot.ok()) {
        m_slot = *std::move(slot);
        return prepareSession();
    }
    const bool isUnreachable = resultCodeOf(slot.status()) == ResultCode::TargetUnreachable;
    m_primaryUse.reset();
    if (isUnreachable) {
        m_destination.target->recordUnreachable();
        reportUnreachable();
    }
    // A full primary would refuse the statement from other daemons too. A statement that needs the primary is therefore retried
    // only if the primary was unreachable.
    if ((!m_job.needsPrimary() || isUnreachable) && mayRetry())
        return tryNextDestination();
    refuse(RelayError::Busy, std::string(slot.status().message()));
}

void RelayRun::prepareSession()
{
    // Use of the primary may have been stopped while the statement waited for a connection.
    if (m_destination.isPrimary && !m_group.mayUsePrimary())
        return primaryAbandoned();
    SessionSetup setup = planSessionSetup(*m_job.sessionState, m_job.definition, m_slot->session());
    m_preparedName = std::move(setup.preparedName);
    recordSessionSetup(m_group, setup);
    if (m_job.beginKind) {
        RelayStep begin;
        begin.kind = *m_job.beginKind;
        begin.requiredMark = m_destination.requiredMark;
        setup.steps.push_back(std::move(begin));
    }
    m_sentAt = m_group.loop().now();
    if (m_primaryUse)
        m_primaryUse->setWaitingSince(m_sentAt);
    if (setup.steps.empty())
        return sendStatement();
    m_slot->run(std::move(setup.steps), timeLeft(), [self = shared_from_this(), attempt = m_attempts](absl::StatusOr<std::vector<RelayAnswer>> answers) {
        if (self->isCurrent(attempt))
            self->sessionPrepared(std::move(answers));
    });
}

void RelayRun::sessionPrepared(absl::StatusOr<std::vector<RelayAnswer>> answers)
{
    if (!answers.ok())
        return connectionFailed(answers.status());
    const auto failed = findError(*answers);
    if (failed == answers->end())
        return sendStatement();
    const bool isBegin = m_job.beginKind && std::next(failed) == answers->end();
    if (!isBegin)
        logSessionSetupRefused(m_group, m_job, *m_slot, *failed);
    retryOrRefuse(*failed);
}

void RelayRun::sendStatement()
{
    m_isTransactionOpen = m_job.beginKind.has_value();
    RelayStep step = m_job.step;
    if (!m_preparedName.empty())
        step.name = m_preparedName;
    if (!m_job.beginKind && !m_job.isWrite)
        step.requiredMark = m_destination.requiredMark;
    m_sentAt = m_group.loop().now();
    if (!m_destination.peer.isEmpty())
        step.forwardedFor = m_job.forwardedFor(m_sentAt);
    if (!m_destination.peer.isEmpty())
        m_outstanding = m_group.homeDelays().recordSent(m_destination.peer, m_sentAt);
    if (m_destination.isPrimary && m_job.isWrite && !m_job.beginKind)
        m_sentWrite = m_group.sentNow(*m_slot);
    m_isAwaitingAnswer = true;
    m_slot->run({ std::move(step) }, timeLeft(), [self = shared_from_this(), attempt = m_attempts](absl::StatusOr<std::vector<RelayAnswer>> answers) {
        if (self->isCurrent(attempt))
            self->statementAnswered(std::move(answers));
    });
}

void RelayRun::statementAnswered(absl::StatusOr<std::vector<RelayAnswer>> answers)
{
    if (!answers.ok())
        return connectionFailed(answers.status());
    m_isAwaitingAnswer = false;
    RelayAnswer& answer = answers->front();
    switch (answer.error) {
    case RelayError::None:
        return statementSucceeded(std::move(answer));
    case RelayError::Failed:
    case RelayError::TimedOut:
    case RelayError::InDoubt:
        m_destination.target->recordError(answer.error, m_sentAt);
        return finish(std::move(answer));
    case RelayError::Malformed:
        // It would be malformed elsewhere, too.
        return finish(std::move(answer));
    case RelayError::UnknownStatement:
        // The connection has lost the prepared statement and is closed, so the same target may be tried again on another one.
        logPreparedStatementLost(m_group, m_job, *m_slot);
        m_tried.erase(m_destination.target->entry().target.id);
        return retryOrRefuse(answer);
    default:
        return retryOrRefuse(answer);
    }
}

// The connection was lost or did not answer in time, so a statement that was sent may have run.
void RelayRun::connectionFailed(const absl::Status& status)
{
    const bool isSilent = resultCodeOf(status) == ResultCode::TargetSilent;
    // A connection may close while it is idle, and then says nothing of the target.
    const bool wasSent = resultCodeOf(status) != ResultCode::ConnectionClosed;
    m_isTransactionOpen = false;
    m_outstanding.reset();
    m_slot.reset();
    if (wasSent) {
        m_destination.target->recordLost(m_sentAt);
        if (resultCodeOf(status) != ResultCode::AnswersOutOfStep)
            reportUnreachable();
    } else {
        m_isAwaitingAnswer = false;
        m_tried.erase(m_destination.target->entry().target.id);
    }
    logStatement(m_group, "statement_broken", m_job, m_destination.target->entry().target.id, RelayError::None, std::string(status.message()));
    if (m_isAwaitingAnswer && !isRepeatable())
        return refuse(isSilent ? RelayError::TimedOut : RelayError::InDoubt, std::string(status.message()));
    m_isAwaitingAnswer = false;
    m_primaryUse.reset();
    if (timeLeft() > Milliseconds(0) && mayRetry() && m_group.retryBudget().tryConsumeRetry(m_group.loop().now()))
        return tryNextDestination();
    refuse(isSilent ? RelayError::TimedOut : RelayError::Busy, std::string(status.message()));
}

void RelayRun::reportUnreachable()
{
    if (m_destination.isPrimary)
        m_group.observer().primaryFailed(m_group.id());
    if (!m_destination.peer.isEmpty())
        m_group.reportPeer(m_destination.peer, false);
}

void RelayRun::retryOrRefuse(const RelayAnswer& answer)
{
    const Instant now = m_group.loop().now();
    m_destination.target->recordRefusal(answer.error, m_sentAt, m_destination.requiredMark);
    releaseSlot();
    m_primaryUse.reset();
    const bool isPeer = !m_destination.peer.isEmpty();
    if (answer.error == RelayError::ReadOnly && m_destination.isPrimary)
        m_group.observer().primaryFailed(m_group.id());
    const bool isFull = answer.error == RelayError::Busy && !isPeer;
    const bool mayMove = (!m_job.needsPrimary() || !isFull) && mayRetry();
    if (mayMove && (answer.error == RelayError::Lagging || m_group.retryBudget().tryConsumeRetry(now)))
        return tryNextDestination();
    refuse(RelayError::Busy, answer.errorText);
}

void RelayRun::statementSucceeded(RelayAnswer answer)
{
    if (m_destination.isPrimary && !m_group.mayAcceptAnswer(m_primaryUse->term())) {
        // The primary may have been replaced since the statement was sent, and then its log is no longer the group's.
        const bool mayHaveRun = !isRepeatable();
        m_slot->discard();
        return refuse(mayHaveRun ? RelayError::InDoubt : RelayError::Busy, "the lease expired or the term changed before the primary answered");
    }
    recordSuccess(answer);
    recordAcknowledgedWrite(answer);
    m_isTransactionOpen = m_isTransactionOpen && answer.state != TransactionState::Idle;
    if (m_job.beginKind && m_job.step.kind != RelayKind::Commit && answer.state == TransactionState::Open)
        m_result.transaction = RelayTransaction::create(m_group, std::move(m_slot), transactionDestination(), m_job.isWrite);
    finish(std::move(answer));
}

void RelayRun::recordSuccess(const RelayAnswer& answer)
{
    const Instant now = m_group.loop().now();
    m_destination.target->recordAnswer(work().statement, m_sentAt, m_destination.requiredMark);
    if (!m_destination.peer.isEmpty())
        m_group.reportPeer(m_destination.peer, true);
    if (!m_destination.peer.isEmpty())
        m_group.homeDelays().recordAnswer(m_job.kind(), m_destination.peer, now - m_sentAt, now);
    // A peer daemon checks its own lease before it acknowledges an answer from the primary.
    const bool isFromPrimary = m_destination.isPrimary || (!m_destination.peer.isEmpty() && m_job.needsPrimary());
    if (!isFromPrimary || !answer.mark)
        return;
    if (m_destination.isPrimary)
        m_group.observer().primaryAnswered(m_group.id());
    m_group.logHistory().addSample(m_sentAt, *answer.mark);
    if (m_job.isWrite && !m_job.beginKind)
        m_result.committed = answer.mark;
}

void RelayRun::recordAcknowledgedWrite(const RelayAnswer& answer)
{
    if (!m_destination.isPrimary || !m_sentWrite)
        return;
    m_group.acknowledgedWrites().add({ m_job.step.id, AcknowledgedKind::Write, m_destination.target->entry().target.id, m_primaryUse->term(), *m_sentWrite, m_group.loop().now(), answer.mark });
}

TransactionDestination RelayRun::transactionDestination() const
{
    if (m_destination.isPrimary)
        return TransactionDestination::Primary;
    const bool isForwarded = !m_destination.peer.isEmpty() && m_job.beginKind == RelayKind::Begin;
    return isForwarded ? TransactionDestination::PrimaryThroughPeer : TransactionDestination::ReadOnly;
}

void RelayRun::primaryAbandoned()
{
    auto self = shared_from_this();
    if (m_slot && m_isAwaitingAnswer)
        m_slot->discard();
    releaseSlot();
    m_primaryUse.reset();
    if (m_isAwaitingAnswer && !isRepeatable())
        return refuse(RelayError::InDoubt, "the primary is being replaced");
    m_isAwaitingAnswer = false;
    if (!m_job.needsPrimary() && mayRetry())
        return tryNextDestination();
    refuse(RelayError::Busy, "the primary is being replaced or the lease has expired");
}

bool RelayRun::mayRetry()
{
    return m_attempts < maxAttempts && m_group.loop().now() < times().deadline;
}

Milliseconds RelayRun::timeLeft() const
{
    return std::max(Milliseconds(0), m_job.arrived + m_job.route->statementTimeout - m_group.loop().now());
}

void RelayRun::refuse(RelayError error, std::string_view why)
{
    const TargetId target = m_destination.target ? m_destination.target->entry().target.id : TargetId();
    logStatement(m_group, "statement_refused", m_job, target, error, why);
    RelayAnswer answer;
    answer.error = error;
    answer.errorText = std::string(why);
    if (error == RelayError::Busy) {
        const auto pause = static_cast<int64_t>(m_group.retryAfter(m_destination.target.get()).count());
        answer.errorText += "; come back in " + std::to_string(pause) + " ms";
    }
    finish(std::move(answer));
}

void RelayRun::finish(RelayAnswer answer)
{
    auto self = shared_from_this();
    m_isDone = true;
    m_primaryUse.reset();
    releaseSlot();
    recordStatementMetrics(m_group, m_job, answer.error);
    m_result.answer = std::move(answer);
    m_job.done(std::move(m_result));
}

void RelayRun::releaseSlot()
{
    m_outstanding.reset();
    if (m_slot && m_isTransactionOpen)
        RelaySlot::rollBack(std::move(m_slot));
    m_isTransactionOpen = false;
    m_slot.reset();
}

}
