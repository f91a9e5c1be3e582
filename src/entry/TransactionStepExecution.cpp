#include "entry/TransactionStepExecution.h"

#include "entry/WriteExecution.h"
#include "homes/TransactionTable.h"

namespace parsleypaddle {

void TransactionStepExecution::attempt()
{
    m_isInFlight = true;
    if (m_request.transaction->step == TransactionStep::Begin) {
        callHomes(HomeOperation::Write, selectPrimaryTarget(), LogPosition(), Term(), [this](const HomeReply& reply) {
            m_isInFlight = false;
            handleBeginReply(reply);
        });
        return;
    }
    const TransactionId& id = m_request.transaction->id;
    if (!m_context.membership.find(instanceOf(id)))
        m_lastFailure.message = "the daemon that held the transaction is not in the list of daemons";
    const HomeCall call = makeCall(HomeOperation::Write, targetOf(id), LogPosition(), Term());
    callInstance(instanceOf(id), call, [this](const HomeReply& reply) {
        m_isInFlight = false;
        handleStepReply(reply);
    });
}

ResultCode TransactionStepExecution::resultCodeAtDeadline() const
{
    if (!m_isInFlight)
        return m_lastFailure.code;
    return m_request.transaction->step == TransactionStep::Begin ? ResultCode::TransactionEnded : ResultCode::OutcomeUnknown;
}

// No caller can commit a transaction whose id it never received, so a Begin without an answer counts as not run.
void TransactionStepExecution::handleBeginReply(const HomeReply& reply)
{
    const StatementAnswer& answer = reply.answer;
    if (answer.outcome() == Outcome::Done)
        return finish(answer);
    recordFailure(answer);
    if (answer.outcome() == Outcome::Unknown)
        return finishWithError(ResultCode::TransactionEnded, answer.message);
    if (!isRetryable(answer.code))
        return finish(answer);
    scheduleRetry();
}

void TransactionStepExecution::handleStepReply(const HomeReply& reply)
{
    const StatementAnswer& answer = reply.answer;
    const bool isCommit = m_request.transaction->step == TransactionStep::Commit;
    if (answer.outcome() == Outcome::Done) {
        if (isCommit)
            m_session.advance(m_request.database, reply.term, reply.position);
        return finish(answer);
    }
    if (isCommit)
        return settleCommit();
    const bool isLost = answer.code == ResultCode::ConnectionLost || answer.code == ResultCode::TargetSilent
        || answer.code == ResultCode::PeerUnreachable;
    if (isLost)
        return finishWithError(ResultCode::TransactionEnded, "the transaction cannot continue: its daemon or its connection to the target was lost or did not answer");
    finish(answer);
}

// The commit may have run, in this attempt or in an earlier one, although no success was reported. Only the ledger holds
// its outcome.
void TransactionStepExecution::settleCommit()
{
    recordDecision("settle the outcome of the commit", "the outcome is unknown");
    // If the deadline passes during settlement, the answer is OutcomeUnknown.
    m_isInFlight = true;
    auto self = shared_from_this();
    auto settled = [this, self](StatementAnswer answer) {
        if (isFinished())
            return;
        if (!answer.token.empty()) {
            auto session = m_context.sealer.verify(m_request.organisation, m_request.session, answer.token);
            if (session.ok())
                m_session = *session;
        }
        if (answer.code == ResultCode::RequestSettled)
            answer.code = ResultCode::TransactionEnded;
        finish(std::move(answer));
    };
    std::make_shared<WriteExecution>(m_context, m_request, m_session, m_group, m_policy, settled)->startSettling();
}

}
