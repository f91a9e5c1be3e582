#include "entry/RequestExecution.h"

#include "homes/ConnectionShare.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    constexpr double retryDelayGrowth = 1.6;
    constexpr double minimumJitter = 0.5;

    // With these codes the target need not be down. Another home, for example one in another failure domain, may reach it.
    bool shouldTryNextHome(const HomeReply& reply, const TargetId& target)
    {
        switch (reply.answer.code) {
        case ResultCode::PeerUnreachable:
        case ResultCode::NotHome:
        case ResultCode::Draining:
        case ResultCode::UnknownDatabase:
        case ResultCode::TargetUnreachable:
            return true;
        case ResultCode::NoPrimary:
            return reply.view.primary == target;
        default:
            return false;
        }
    }

}

bool isRetryable(ResultCode code)
{
    switch (code) {
    case ResultCode::NoPrimary:
    case ResultCode::TargetBehind:
    case ResultCode::TermChanged:
    case ResultCode::NotHome:
    case ResultCode::TargetLeaving:
    case ResultCode::TargetUnreachable:
    case ResultCode::PeerUnreachable:
    case ResultCode::UnknownDatabase:
    case ResultCode::Draining:
        return true;
    default:
        return false;
    }
}

RequestExecution::RequestExecution(EntryContext& context, StatementRequest request, SessionState session, std::shared_ptr<const GroupConfiguration> group, const Policy& policy, Done done)
    : m_context(context)
    , m_request(std::move(request))
    , m_session(std::move(session))
    , m_group(std::move(group))
    , m_policy(policy)
    , m_done(std::move(done))
{
    m_lastFailure.code = ResultCode::DeadlinePassed;
}

void RequestExecution::start()
{
    m_deadlineTimer = m_context.loop.after(remaining(), [self = shared_from_this()] {
        if (self->isFinished())
            return;
        StatementAnswer answer;
        answer.code = self->resultCodeAtDeadline();
        answer.message = self->m_lastFailure.message.empty() ? "the deadline passed" : self->m_lastFailure.message;
        self->finish(std::move(answer));
    });
    m_context.retryBudget.recordFirstAttempt();
    attempt();
}

void RequestExecution::callHomes(HomeOperation operation, const TargetId& target, LogPosition minimumPosition, Term minimumTerm, ReplyHandler onReply)
{
    m_lastCalledTarget = target;
    auto it = std::find_if(m_group->targets.begin(), m_group->targets.end(), [&target](const TargetConfiguration& configuration) { return configuration.id == target; });
    auto homes = std::make_shared<std::vector<InstanceId>>(m_context.membership.rankedDaemonsFor(*it));
    homes->resize(std::min<size_t>(homes->size(), maxHomesPerTarget));
    // Waiting for a silent home would use up the time that another attempt needs.
    while (homes->size() > 1 && m_context.membership.isUnresponsive(homes->back()))
        homes->pop_back();
    callNextHome(std::move(homes), 0, makeCall(operation, target, minimumPosition, minimumTerm), onReply);
}

HomeCall RequestExecution::makeCall(HomeOperation operation, const TargetId& target, LogPosition minimumPosition, Term minimumTerm) const
{
    HomeCall call;
    call.operation = operation;
    call.target = target;
    call.request = m_request;
    call.request.token.clear();
    const Milliseconds span = remaining() - m_context.settings.returnMargin;
    call.request.deadline = m_context.loop.now() + std::max(Milliseconds(1), span);
    call.minimumPosition = minimumPosition;
    call.minimumTerm = minimumTerm;
    call.greatestAge = m_request.greatestAge.value_or(m_policy.greatestAge);
    return call;
}

void RequestExecution::callNextHome(std::shared_ptr<std::vector<InstanceId>> homes, size_t n, const HomeCall& call, const ReplyHandler& onReply)
{
    const InstanceId home = homes->at(n);
    callInstance(home, call, [this, self = shared_from_this(), homes, n, call, onReply](HomeReply reply) {
        if (shouldTryNextHome(reply, call.target) && n + 1 < homes->size() && remaining() > Milliseconds(0))
            return callNextHome(homes, n + 1, call, onReply);
        onReply(std::move(reply));
    });
}

void RequestExecution::callInstance(const InstanceId& instance, const HomeCall& call, ReplyHandler onReply)
{
    m_context.homes.call(instance, call, [this, self = shared_from_this(), onReply = std::move(onReply)](HomeReply reply) {
        m_context.views.merge(reply.view);
        if (!isFinished())
            onReply(std::move(reply));
    });
}

// When a call to the known primary ends with a retryable code, that primary may have been partitioned and replaced. The next
// attempt therefore calls the next target in round-robin order, whose home may already know the new primary.
void RequestExecution::recordFailure(const StatementAnswer& answer)
{
    m_lastFailure = answer;
    m_mustAskOtherTarget = m_lastCalledTarget == view().primary && isRetryable(answer.code);
}

void RequestExecution::scheduleRetry()
{
    const double growth = std::pow(retryDelayGrowth, m_retryCount);
    ++m_retryCount;
    const Milliseconds delay = std::min(m_context.settings.initialRetryDelay * growth, m_context.settings.maximumRetryDelay);
    const double jitter = std::uniform_real_distribution<double>(minimumJitter, 1)(m_context.random);
    m_context.loop.after(delay * jitter, [self = shared_from_this()] {
        if (!self->isFinished() && self->remaining() > Milliseconds(0))
            self->attempt();
    });
}

bool RequestExecution::takeRetry()
{
    return m_context.retryBudget.tryConsumeRetry(m_context.loop.now());
}

void RequestExecution::finish(StatementAnswer answer)
{
    m_context.loop.cancel(m_deadlineTimer);
    answer.id = m_request.id;
    if (!m_request.session.isEmpty())
        answer.token = m_context.sealer.sign(m_request.organisation, m_request.session, m_session);
    Done done;
    std::swap(done, m_done);
    done(std::move(answer));
}

void RequestExecution::finishWithError(ResultCode code, std::string message)
{
    StatementAnswer answer;
    answer.code = code;
    answer.message = std::move(message);
    finish(std::move(answer));
}

void RequestExecution::recordDecision(std::string what, std::string why) const
{
    if (m_context.onDecision)
        m_context.onDecision({ m_request.id, m_request.database, std::move(what), std::move(why) });
}

void RequestExecution::recordRetry(std::string what, std::string why) const
{
    if (m_context.onDecision)
        m_context.onDecision({ m_request.id, m_request.database, std::move(what), std::move(why), true });
}

TargetId RequestExecution::selectPrimaryTarget()
{
    const TargetId& primary = view().primary;
    const bool isKnown = std::any_of(m_group->targets.begin(), m_group->targets.end(), [&primary](const TargetConfiguration& it) { return it.id == primary; });
    if (isKnown && !m_mustAskOtherTarget)
        return primary;
    m_mustAskOtherTarget = false;
    return m_group->targets[m_nextAskedTarget++ % m_group->targets.size()].id;
}

}
