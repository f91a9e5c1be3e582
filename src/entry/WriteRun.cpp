#include "entry/WriteRun.h"

namespace parsleypaddle {

void WriteRun::startSettling()
{
    m_isUncertain = true;
    m_isSettling = true;
    start();
}

void WriteRun::attempt()
{
    if (m_settleBelow == Milliseconds(0)) {
        m_settleBelow = remaining() * m_context.settings.settleShare;
        m_isUncertain |= m_request.attempt > 1;
    }
    send(mustSettle() ? HomeOperation::Settle : HomeOperation::Write);
}

ResultCode WriteRun::codeAtDeadline() const
{
    if (m_isUncertain || m_isUnderWay)
        return m_context.settings.brokenRules.has(BrokenRule::UnknownOutcome) ? ResultCode::DeadlinePassed : ResultCode::OutcomeUnknown;
    return m_lastRefusal.code;
}

void WriteRun::send(HomeOperation operation)
{
    m_isUnderWay = operation == HomeOperation::Write;
    // Until the outcome is known the session has to expect the write.
    m_session.setUncertain(m_request.database);
    callHomes(operation, primaryToAsk(), LogPosition(), Term(), [this, operation](const HomeReply& reply) {
        m_isUnderWay = false;
        handleReply(operation, reply);
    });
}

void WriteRun::handleReply(HomeOperation operation, const HomeReply& reply)
{
    const StatementAnswer& answer = reply.answer;
    if (answer.outcome() == Outcome::Done) {
        m_session.advance(m_request.database, reply.term, reply.position);
        decide(std::string(nameOf(answer.code)), "at " + answer.target.value() + ", term " + std::to_string(reply.term.value()));
        return finish(answer);
    }
    if (answer.outcome() == Outcome::NotRun)
        return handleRefusal(operation, answer);

    if (m_context.settings.brokenRules.has(BrokenRule::UnknownOutcome))
        return refuse(ResultCode::TargetUnreachable, answer.message);
    m_isUncertain = true;
    noteRefusal(answer);
    decideRetry("ask again", std::string(nameOf(answer.code)));
    if (!takeRetry())
        m_isSettling = true;
    attemptLater();
}

void WriteRun::handleRefusal(HomeOperation operation, const StatementAnswer& answer)
{
    noteRefusal(answer);
    // The ledger's word is final; any other refusal says nothing of an earlier, uncertain attempt.
    const bool isFinal = answer.code == ResultCode::RequestSettled || answer.code == ResultCode::RequestIdReused;
    if (isFinal || (!m_isUncertain && !mayServeElsewhere(answer.code))) {
        decide("refused", std::string(nameOf(answer.code)));
        return finish(answer);
    }
    if (m_isUncertain && operation == HomeOperation::Write && !mayServeElsewhere(answer.code))
        m_isSettling = true;
    decideRetry("try again", std::string(nameOf(answer.code)));
    attemptLater();
}

bool WriteRun::mustSettle() const
{
    return m_isUncertain && (m_isSettling || remaining() < m_settleBelow);
}

}
