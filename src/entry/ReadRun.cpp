#include "entry/ReadRun.h"

namespace parsleypaddle {

void ReadRun::attempt()
{
    if (!m_hasPosition && mustAskPosition())
        return askPosition();
    m_hasPosition = true;
    askTargets();
}

ResultCode ReadRun::codeAtDeadline() const
{
    return m_lastRefusal.outcome() == Outcome::NotRun ? m_lastRefusal.code : ResultCode::DeadlinePassed;
}

// A position counts while its term lasts. After a change of primary, or an uncertain write, or when the token does not
// speak of this database (it may descend from a request that came without one), the primary's confirmed position covers
// every write that has survived.
bool ReadRun::mustAskPosition()
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

void ReadRun::askPosition()
{
    callHomes(HomeOperation::PrimaryPosition, primaryToAsk(), LogPosition(), Term(), [this](const HomeReply& reply) {
        if (reply.answer.code != ResultCode::Done) {
            noteRefusal(reply.answer);
            if (reply.answer.outcome() == Outcome::Unknown)
                m_lastRefusal.code = ResultCode::NoPrimary;
            return attemptLater();
        }
        m_hasPosition = true;
        m_position = reply.position;
        m_term = reply.term;
        m_session.advance(m_request.database, reply.term, reply.position);
        askTargets();
    });
}

void ReadRun::askTargets()
{
    ReadNeed need;
    need.minimumPosition = m_position;
    need.greatestAge = m_request.greatestAge.value_or(m_policy.greatestAge);
    need.deadline = m_request.deadline;
    GroupView seen = view();
    if (m_context.settings.brokenRules.has(BrokenRule::Leaving)) {
        for (auto& it : seen.targets)
            it.status.isLeaving = false;
    }
    m_candidates = m_context.router->order(*m_group, seen, need, m_context.loop.now());
    askNextTarget();
}

void ReadRun::askNextTarget()
{
    if (m_candidates.empty()) {
        if (m_lastRefusal.code == ResultCode::DeadlinePassed)
            m_lastRefusal.code = ResultCode::NoReplica;
        return attemptLater();
    }
    const TargetId target = m_candidates.front();
    m_candidates.erase(m_candidates.begin());
    const Instant sentAt = m_context.loop.now();
    callHomes(HomeOperation::Read, target, m_position, m_term, [this, target, sentAt](const HomeReply& reply) {
        handleReply(target, sentAt, reply);
    });
}

void ReadRun::handleReply(const TargetId& target, Instant sentAt, const HomeReply& reply)
{
    const StatementAnswer& answer = reply.answer;
    ReadAttempt made;
    made.target = target;
    made.took = m_context.loop.now() - sentAt;
    made.wasBehind = answer.code == ResultCode::TargetBehind || answer.code == ResultCode::TermChanged;
    made.wasUnreachable = answer.outcome() == Outcome::Unknown || answer.code == ResultCode::TargetUnreachable;
    m_context.router->learn(made, m_context.loop.now());

    if (answer.outcome() == Outcome::Done) {
        decide("read", "at " + target.value());
        return finish(answer);
    }
    noteRefusal(answer);
    const bool isSpent = answer.outcome() == Outcome::Unknown && !takeRetry();
    if (isSpent)
        return refuse(ResultCode::RetryBudgetSpent, answer.message);
    if (answer.outcome() == Outcome::NotRun && !mayServeElsewhere(answer.code))
        return finish(answer);
    decideRetry("ask another target than " + target.value(), std::string(nameOf(answer.code)));
    askNextTarget();
}

}
