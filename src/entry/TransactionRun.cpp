#include "entry/TransactionRun.h"

#include "entry/WriteRun.h"
#include "homes/TransactionTable.h"

namespace parsleypaddle {

void TransactionRun::attempt()
{
    m_isUnderWay = true;
    if (m_request.transaction->step == TransactionStep::Begin) {
        callHomes(HomeOperation::Write, primaryToAsk(), LogPosition(), Term(), [this](const HomeReply& reply) {
            m_isUnderWay = false;
            handleBegin(reply);
        });
        return;
    }
    const TransactionId& id = m_request.transaction->id;
    if (!m_context.membership.find(instanceOf(id)))
        m_lastRefusal.message = "the daemon that held the transaction is gone";
    const HomeCall call = makeCall(HomeOperation::Write, targetOf(id), LogPosition(), Term());
    callInstance(instanceOf(id), call, [this](const HomeReply& reply) {
        m_isUnderWay = false;
        handleStep(reply);
    });
}

ResultCode TransactionRun::codeAtDeadline() const
{
    if (!m_isUnderWay)
        return m_lastRefusal.code;
    return m_request.transaction->step == TransactionStep::Begin ? ResultCode::TransactionEnded : ResultCode::OutcomeUnknown;
}

// Nobody can commit a transaction whose id was never given out, so an unanswered Begin did not run.
void TransactionRun::handleBegin(const HomeReply& reply)
{
    const StatementAnswer& answer = reply.answer;
    if (answer.outcome() == Outcome::Done)
        return finish(answer);
    noteRefusal(answer);
    if (answer.outcome() == Outcome::Unknown)
        return refuse(ResultCode::TransactionEnded, answer.message);
    if (!mayServeElsewhere(answer.code))
        return finish(answer);
    attemptLater();
}

void TransactionRun::handleStep(const HomeReply& reply)
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
        return refuse(ResultCode::TransactionEnded, "the transaction's connection was lost; it was rolled back");
    finish(answer);
}

// A commit may have run though this attempt failed, and may even have been sent twice: only the ledger knows.
void TransactionRun::settleCommit()
{
    decide("settle the commit", "its outcome is unknown");
    // Until then the deadline finds it unknown, not refused.
    m_isUnderWay = true;
    auto self = shared_from_this();
    auto settled = [this, self](StatementAnswer answer) {
        if (isFinished())
            return;
        if (!answer.token.empty()) {
            auto session = m_context.sealer.open(m_request.shop, m_request.session, answer.token);
            if (session.ok())
                m_session = *session;
        }
        if (answer.code == ResultCode::RequestSettled)
            answer.code = ResultCode::TransactionEnded;
        finish(std::move(answer));
    };
    std::make_shared<WriteRun>(m_context, m_request, m_session, m_group, m_policy, settled)->startSettling();
}

}
