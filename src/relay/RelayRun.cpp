#include "relay/RelayRun.h"

#include "base/ResultCode.h"
#include "relay/RelayTransaction.h"
#include "relay/StatementLog.h"

#include <absl/hash/hash.h>
#include <algorithm>

namespace parsleypaddle {

namespace {

    /// Maximum number of attempts for one statement: one for each of a group's three targets, and one more.
    constexpr uint32_t mostAttempts = 4;

}

/// Registers the statement with the group while it uses the primary.
class RelayRun::Use final : public PrimaryUse {
public:
    explicit Use(RelayRun& run)
        : PrimaryUse(run.m_group)
        , m_run(run)
    {
    }

    void abandon() override { m_run.abandoned(); }

private:
    RelayRun& m_run;
};

void RelayRun::start(RelayGroup& group, RelayJob job)
{
    std::shared_ptr<RelayRun> run(new RelayRun(group, std::move(job)));
    run->next();
}

RelayRun::RelayRun(RelayGroup& group, RelayJob job)
    : m_group(group)
    , m_job(std::move(job))
{
}

void RelayRun::next()
{
    if (auto destination = m_group.chooseDestination(m_job, m_tried))
        return tryAt(*destination);
    refuse(RelayError::Busy, m_job.needsPrimary() ? "the primary cannot be used now" : "no reachable target meets the freshness limit of this read");
}

void RelayRun::tryAt(const StatementDestination& destination)
{
    ++m_attempts;
    m_destination = destination;
    m_tried.insert(destination.target->entry().target.id);
    if (destination.isPrimary) {
        m_use = std::make_unique<Use>(*this);
        m_use->setWaiting(m_group.loop().now());
    }
    destination.target->acquire(work(), [self = shared_from_this(), attempt = m_attempts](absl::StatusOr<std::shared_ptr<RelaySlot>> slot) {
        if (self->isCurrent(attempt))
            self->acquired(std::move(slot));
    });
}

Work RelayRun::work() const
{
    Work work;
    work.shop = m_job.caller;
    work.workload = ClassName(m_job.route->database.value());
    work.urgency = m_job.route->urgency;
    // Among routes of equal urgency, those with a shorter objective receive a larger share of a busy target.
    constexpr double weightOfOneMillisecond = 1000;
    work.classWeight = weightOfOneMillisecond / std::max(1.0, m_job.route->objective.count());
    work.statement = absl::HashOf(m_job.route->database, m_job.opens.has_value(), m_job.isWrite);
    work.arrived = m_job.arrived;
    work.deadline = m_job.arrived + m_job.route->objective;
    return work;
}

void RelayRun::acquired(absl::StatusOr<std::shared_ptr<RelaySlot>> slot)
{
    if (m_job.requester.expired())
        return refuse(RelayError::Busy, "the caller disconnected before the statement was sent");
    if (slot.ok()) {
        m_slot = *std::move(slot);
        return prepare();
    }
    const bool isUnreachable = resultCodeOf(slot.status()) == ResultCode::TargetUnreachable;
    m_use.reset();
    if (isUnreachable)
        noteUnreachable();
    // A full primary would refuse the statement from other daemons too, so it is retried only if the primary is unreachable.
    if ((!m_job.needsPrimary() || isUnreachable) && mayTryAgain())
        return next();
    refuse(RelayError::Busy, std::string(slot.status().message()));
}

void RelayRun::prepare()
{
    // Use of the primary may have been stopped while the statement waited for a connection.
    if (m_destination.isPrimary && !m_group.mayUsePrimary())
        return abandoned();
    Replay replay = planReplay(*m_job.sessionState, m_job.definition, m_slot->sessionState());
    m_preparedName = std::move(replay.preparedName);
    if (m_job.opens) {
        RelayStep begin;
        begin.kind = *m_job.opens;
        begin.after = m_destination.requiredMark;
        replay.steps.push_back(std::move(begin));
    }
    m_sentAt = m_group.loop().now();
    if (m_use)
        m_use->setWaiting(m_sentAt);
    if (replay.steps.empty())
        return sendStatement();
    m_slot->run(std::move(replay.steps), timeLeft(), [self = shared_from_this(), attempt = m_attempts](absl::StatusOr<std::vector<RelayAnswer>> answers) {
        if (self->isCurrent(attempt))
            self->prepared(std::move(answers));
    });
}

void RelayRun::prepared(absl::StatusOr<std::vector<RelayAnswer>> answers)
{
    if (!answers.ok())
        return broken(answers.status());
    const auto failed = std::find_if(answers->begin(), answers->end(), [](const RelayAnswer& it) { return it.error != RelayError::None; });
    if (failed == answers->end())
        return sendStatement();
    // A refused BEGIN leaves the session unchanged. After any other failure the state of the session is unknown.
    if (!m_job.opens || std::next(failed) != answers->end())
        m_slot->discard();
    notRun(*failed);
}

void RelayRun::sendStatement()
{
    m_isBegun = m_job.opens.has_value();
    RelayStep step = m_job.step;
    if (!m_preparedName.empty())
        step.name = m_preparedName;
    if (!m_job.opens && !m_job.isWrite)
        step.after = m_destination.requiredMark;
    m_sentAt = m_group.loop().now();
    m_isSent = true;
    m_slot->run({ std::move(step) }, timeLeft(), [self = shared_from_this(), attempt = m_attempts](absl::StatusOr<std::vector<RelayAnswer>> answers) {
        if (self->isCurrent(attempt))
            self->answered(std::move(answers));
    });
}

void RelayRun::answered(absl::StatusOr<std::vector<RelayAnswer>> answers)
{
    if (!answers.ok())
        return broken(answers.status());
    m_isSent = false;
    RelayAnswer& answer = answers->front();
    switch (answer.error) {
    case RelayError::None:
        return succeeded(std::move(answer));
    case RelayError::Failed:
    case RelayError::TimedOut:
    case RelayError::InDoubt:
        return finish(std::move(answer));
    default:
        return notRun(answer);
    }
}

// The connection was lost or did not answer in time, so a statement that was sent may have run.
void RelayRun::broken(const absl::Status& status)
{
    const bool isSilent = resultCodeOf(status) == ResultCode::TargetSilent;
    m_isBegun = false;
    m_slot.reset();
    noteUnreachable();
    logStatement(m_group, "statement_broken", m_job, m_destination.target->entry().target.id, RelayError::None, std::string(status.message()));
    if (m_isSent && !isRepeatable())
        return refuse(isSilent ? RelayError::TimedOut : RelayError::InDoubt, std::string(status.message()));
    m_isSent = false;
    m_use.reset();
    if (timeLeft() > Milliseconds(0) && mayTryAgain() && m_group.retries().takeRetry(m_group.loop().now()))
        return next();
    refuse(isSilent ? RelayError::TimedOut : RelayError::Busy, std::string(status.message()));
}

void RelayRun::noteUnreachable()
{
    m_destination.target->experience().wasUnreachable(m_group.loop().now());
    if (m_destination.isPrimary)
        m_group.observer().primaryFailed(m_group.id());
    if (!m_destination.peer.isEmpty())
        m_group.reportPeer(m_destination.peer, false);
}

void RelayRun::notRun(const RelayAnswer& answer)
{
    const Instant now = m_group.loop().now();
    releaseSlot();
    m_use.reset();
    const bool isPeer = !m_destination.peer.isEmpty();
    if (answer.error == RelayError::Lagging || isPeer)
        m_destination.target->experience().wasBehind(now);
    if (answer.error == RelayError::ReadOnly && m_destination.isPrimary)
        m_group.observer().primaryFailed(m_group.id());
    const bool isFull = answer.error == RelayError::Busy && !isPeer;
    const bool mayMove = (!m_job.needsPrimary() || !isFull) && mayTryAgain();
    if (mayMove && (answer.error == RelayError::Lagging || m_group.retries().takeRetry(now)))
        return next();
    refuse(RelayError::Busy, answer.errorText);
}

void RelayRun::succeeded(RelayAnswer answer)
{
    if (m_destination.isPrimary && !m_group.maySettle(m_use->term())) {
        // The primary may have been replaced since the statement was sent, and then its log is no longer the group's.
        const bool mayHaveRun = !isRepeatable();
        m_slot->discard();
        return refuse(mayHaveRun ? RelayError::InDoubt : RelayError::Busy, "the lease expired or the term changed before the primary answered");
    }
    noteSuccess(answer);
    m_isBegun = m_isBegun && answer.state != TransactionState::Idle;
    if (m_job.opens && m_job.step.kind != RelayKind::Commit && answer.state == TransactionState::Open)
        m_result.transaction = RelayTransaction::create(m_group, std::move(m_slot), transactionDestination());
    finish(std::move(answer));
}

void RelayRun::noteSuccess(const RelayAnswer& answer)
{
    const Instant now = m_group.loop().now();
    m_destination.target->experience().succeeded(now - m_sentAt, now);
    if (!m_destination.peer.isEmpty())
        m_group.reportPeer(m_destination.peer, true);
    // A peer daemon checks its own lease before it acknowledges an answer from the primary.
    const bool isFromPrimary = m_destination.isPrimary || (!m_destination.peer.isEmpty() && m_job.needsPrimary());
    if (!isFromPrimary || !answer.mark)
        return;
    if (m_destination.isPrimary)
        m_group.observer().primaryAnswered(m_group.id());
    m_group.logHistory().addSample(m_sentAt, *answer.mark);
    if (m_job.isWrite && !m_job.opens)
        m_result.committed = SessionMark { m_group.primary().term, *answer.mark };
}

TransactionDestination RelayRun::transactionDestination() const
{
    if (m_destination.isPrimary)
        return TransactionDestination::Primary;
    const bool isForwarded = !m_destination.peer.isEmpty() && m_job.opens == RelayKind::Begin;
    return isForwarded ? TransactionDestination::PrimaryThroughPeer : TransactionDestination::ReadOnly;
}

void RelayRun::abandoned()
{
    auto self = shared_from_this();
    if (m_slot && m_isSent)
        m_slot->discard();
    releaseSlot();
    m_use.reset();
    if (m_isSent && !isRepeatable())
        return refuse(RelayError::InDoubt, "the primary is being replaced");
    m_isSent = false;
    if (!m_job.needsPrimary() && mayTryAgain())
        return next();
    refuse(RelayError::Busy, "the primary is being replaced");
}

bool RelayRun::mayTryAgain()
{
    return m_attempts < mostAttempts && m_group.loop().now() < m_job.arrived + m_job.route->objective;
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
        const auto pause = static_cast<int64_t>(m_group.comeBackAfter(m_destination.target.get()).count());
        answer.errorText += "; come back in " + std::to_string(pause) + " ms";
    }
    finish(std::move(answer));
}

void RelayRun::finish(RelayAnswer answer)
{
    auto self = shared_from_this();
    m_isDone = true;
    m_use.reset();
    releaseSlot();
    measureStatement(m_group, m_job, answer.error);
    m_result.answer = std::move(answer);
    m_job.done(std::move(m_result));
}

void RelayRun::releaseSlot()
{
    if (m_slot && m_isBegun)
        RelaySlot::rollBack(std::move(m_slot));
    m_isBegun = false;
    m_slot.reset();
}

}
