#include "entry/ReadExecution.h"

namespace parsleypaddle {

void ReadExecution::attempt()
{
    if (!m_hasPosition && mustFetchPosition())
        return fetchPrimaryPosition();
    m_hasPosition = true;
    selectCandidates();
}

ResultCode ReadExecution::resultCodeAtDeadline() const
{
    return m_lastFailure.outcome() == Outcome::NotRun ? m_lastFailure.code : ResultCode::DeadlinePassed;
}

// A position in the session token is valid only for its term. After a change of primary, after a write of uncertain
// outcome, or when the token has no entry for this database (an earlier request of the session may have been sent
// without a token), the read uses the primary's confirmed position, which covers every write that has survived.
bool ReadExecution::mustFetchPosition()
{
    if (m_request.session.isEmpty())
        return false;
    const SessionPosition* known = m_session.find(m_request.database);
    if (!known || known->isUncertain || view().term > known->term)
        return true;
    m_position = known->position;
    m_term = known->term;
    return false;
}

void ReadExecution::fetchPrimaryPosition()
{
    callHomes(HomeOperation::PrimaryPosition, selectPrimaryTarget(), LogPosition(), Term(), [this](const HomeReply& reply) {
        if (reply.answer.code != ResultCode::Done) {
            recordFailure(reply.answer);
            if (reply.answer.outcome() == Outcome::Unknown)
                m_lastFailure.code = ResultCode::NoPrimary;
            return scheduleRetry();
        }
        m_hasPosition = true;
        m_position = reply.position;
        m_term = reply.term;
        m_session.advance(m_request.database, reply.term, reply.position);
        selectCandidates();
    });
}

void ReadExecution::selectCandidates()
{
    ReadRequirements need;
    need.minimumPosition = m_position;
    need.greatestAge = m_request.greatestAge.value_or(m_policy.greatestAge);
    need.deadline = m_request.deadline;
    GroupView groupView = view();
    if (m_context.settings.brokenRules.isDisabled(BrokenRule::Leaving)) {
        for (auto& it : groupView.targets)
            it.status.isLeaving = false;
    }
    m_candidates = m_context.router->rankTargets(*m_group, groupView, need, m_context.loop.now());
    readFromNextCandidate();
}

void ReadExecution::readFromNextCandidate()
{
    if (m_candidates.empty()) {
        if (m_lastFailure.code == ResultCode::DeadlinePassed)
            m_lastFailure.code = ResultCode::NoReplica;
        return scheduleRetry();
    }
    const TargetId target = m_candidates.front();
    m_candidates.erase(m_candidates.begin());
    const Instant sentAt = m_context.loop.now();
    callHomes(HomeOperation::Read, target, m_position, m_term, [this, target, sentAt](const HomeReply& reply) {
        handleReply(target, sentAt, reply);
    });
}

void ReadExecution::handleReply(const TargetId& target, Instant sentAt, const HomeReply& reply)
{
    const StatementAnswer& answer = reply.answer;
    ReadAttempt readAttempt;
    readAttempt.target = target;
    readAttempt.duration = m_context.loop.now() - sentAt;
    readAttempt.wasBehind = answer.code == ResultCode::TargetBehind || answer.code == ResultCode::TermChanged;
    readAttempt.wasUnreachable = answer.outcome() == Outcome::Unknown || answer.code == ResultCode::TargetUnreachable;
    m_context.router->recordAttempt(readAttempt, m_context.loop.now());

    if (answer.outcome() == Outcome::Done) {
        recordDecision("read", "at " + target.value());
        return finish(answer);
    }
    recordFailure(answer);
    const bool isRetryBudgetSpent = answer.outcome() == Outcome::Unknown && !takeRetry();
    if (isRetryBudgetSpent)
        return finishWithError(ResultCode::RetryBudgetSpent, answer.message);
    if (answer.outcome() == Outcome::NotRun && !isRetryable(answer.code))
        return finish(answer);
    recordRetry("retry the read, which did not succeed at " + target.value(), std::string(nameOf(answer.code)));
    readFromNextCandidate();
}

}
