#include "entry/WriteExecution.h"

namespace parsleypaddle {

void WriteExecution::startSettling()
{
    m_isUncertain = true;
    m_isSettling = true;
    start();
}

void WriteExecution::attempt()
{
    if (m_settlementThreshold == Milliseconds(0)) {
        m_settlementThreshold = remaining() * m_context.settings.settlementShare;
        m_isUncertain |= m_request.attempt > 1;
    }
    send(mustSettle() ? HomeOperation::Settle : HomeOperation::Write);
}

ResultCode WriteExecution::resultCodeAtDeadline() const
{
    if (m_isUncertain || m_isInFlight)
        return m_context.settings.brokenRules.isDisabled(BrokenRule::UnknownOutcome) ? ResultCode::DeadlinePassed : ResultCode::OutcomeUnknown;
    return m_lastFailure.code;
}

void WriteExecution::send(HomeOperation operation)
{
    m_isInFlight = operation == HomeOperation::Write;
    // Until the outcome is known, later reads of the session must allow for the write having run.
    m_session.setUncertain(m_request.database);
    callHomes(operation, selectPrimaryTarget(), LogPosition(), Term(), [this, operation](const HomeReply& reply) {
        m_isInFlight = false;
        handleReply(operation, reply);
    });
}

void WriteExecution::handleReply(HomeOperation operation, const HomeReply& reply)
{
    const StatementAnswer& answer = reply.answer;
    if (answer.outcome() == Outcome::Done) {
        m_session.advance(m_request.database, reply.term, reply.position);
        recordDecision(std::string(nameOf(answer.code)), "at " + answer.target.value() + ", term " + std::to_string(reply.term.value()));
        return finish(answer);
    }
    if (answer.outcome() == Outcome::NotRun)
        return handleNotRun(operation, answer);

    if (m_context.settings.brokenRules.isDisabled(BrokenRule::UnknownOutcome))
        return finishWithError(ResultCode::TargetUnreachable, answer.message);
    m_isUncertain = true;
    recordFailure(answer);
    recordRetry("retry the write under the same id", std::string(nameOf(answer.code)));
    if (!takeRetry())
        m_isSettling = true;
    scheduleRetry();
}

void WriteExecution::handleNotRun(HomeOperation operation, const StatementAnswer& answer)
{
    recordFailure(answer);
    // These two codes come from the ledger and hold for every attempt. Any other code only says that this attempt did not
    // run.
    const bool isFinal = answer.code == ResultCode::RequestSettled || answer.code == ResultCode::RequestIdReused;
    if (isFinal || (!m_isUncertain && !isRetryable(answer.code))) {
        recordDecision("refused", std::string(nameOf(answer.code)));
        return finish(answer);
    }
    if (m_isUncertain && operation == HomeOperation::Write && !isRetryable(answer.code))
        m_isSettling = true;
    recordRetry("retry the write, whose last attempt did not run", std::string(nameOf(answer.code)));
    scheduleRetry();
}

bool WriteExecution::mustSettle() const
{
    return m_isUncertain && (m_isSettling || remaining() < m_settlementThreshold);
}

}
