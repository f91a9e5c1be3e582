#include "entry/RequestRun.h"

#include "homes/ConnectionShare.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    constexpr double pauseGrowth = 1.6;
    constexpr double leastJitter = 0.5;

    // A home that was refused or cannot reach the target itself says nothing about the target: in another failure domain
    // the way to it may be open.
    bool mayNextHomeServe(const HomeReply& reply, const TargetId& target)
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

bool mayServeElsewhere(ResultCode code)
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

RequestRun::RequestRun(EntryContext& context, StatementRequest request, SessionState session, std::shared_ptr<const GroupConfiguration> group, const Policy& policy, Done done)
    : m_context(context)
    , m_request(std::move(request))
    , m_session(std::move(session))
    , m_group(std::move(group))
    , m_policy(policy)
    , m_done(std::move(done))
{
    m_lastRefusal.code = ResultCode::DeadlinePassed;
}

void RequestRun::start()
{
    m_deadlineTimer = m_context.loop.after(remaining(), [self = shared_from_this()] {
        if (self->isFinished())
            return;
        StatementAnswer answer;
        answer.code = self->codeAtDeadline();
        answer.message = self->m_lastRefusal.message.empty() ? "the deadline passed" : self->m_lastRefusal.message;
        self->finish(std::move(answer));
    });
    m_context.retryBudget.firstAttempt();
    attempt();
}

void RequestRun::callHomes(HomeOperation operation, const TargetId& target, LogPosition minimumPosition, Term minimumTerm, Replied replied)
{
    m_lastAsked = target;
    auto it = std::find_if(m_group->targets.begin(), m_group->targets.end(), [&target](const TargetConfiguration& configuration) { return configuration.id == target; });
    auto homes = std::make_shared<std::vector<InstanceId>>(m_context.membership.homesOf(*it));
    homes->resize(std::min<size_t>(homes->size(), mostHomesOfTarget));
    // Silent ones rank last; waiting for one of them would take the time that another attempt needs.
    while (homes->size() > 1 && m_context.membership.isSilent(homes->back()))
        homes->pop_back();
    callNextHome(std::move(homes), 0, makeCall(operation, target, minimumPosition, minimumTerm), replied);
}

HomeCall RequestRun::makeCall(HomeOperation operation, const TargetId& target, LogPosition minimumPosition, Term minimumTerm) const
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

void RequestRun::callNextHome(std::shared_ptr<std::vector<InstanceId>> homes, size_t n, const HomeCall& call, const Replied& replied)
{
    const InstanceId home = homes->at(n);
    callInstance(home, call, [this, self = shared_from_this(), homes, n, call, replied](HomeReply reply) {
        if (mayNextHomeServe(reply, call.target) && n + 1 < homes->size() && remaining() > Milliseconds(0))
            return callNextHome(homes, n + 1, call, replied);
        replied(std::move(reply));
    });
}

void RequestRun::callInstance(const InstanceId& instance, const HomeCall& call, Replied replied)
{
    m_context.homes.call(instance, call, [this, self = shared_from_this(), replied = std::move(replied)](HomeReply reply) {
        m_context.views.merge(reply.view);
        if (!isFinished())
            replied(std::move(reply));
    });
}

// A refusal by the home of the known primary may mean that it was cut off and replaced: the next attempt asks the
// home of another target, which may have heard of the successor.
void RequestRun::noteRefusal(const StatementAnswer& answer)
{
    m_lastRefusal = answer;
    m_mustAskOthers = m_lastAsked == view().primary && mayServeElsewhere(answer.code);
}

void RequestRun::attemptLater()
{
    const double growth = std::pow(pauseGrowth, m_attempts);
    ++m_attempts;
    const Milliseconds longest = std::min(m_context.settings.firstPause * growth, m_context.settings.longestPause);
    const double jitter = std::uniform_real_distribution<double>(leastJitter, 1)(m_context.random);
    m_context.loop.after(longest * jitter, [self = shared_from_this()] {
        if (!self->isFinished() && self->remaining() > Milliseconds(0))
            self->attempt();
    });
}

bool RequestRun::takeRetry()
{
    return m_context.retryBudget.takeRetry(m_context.loop.now());
}

void RequestRun::finish(StatementAnswer answer)
{
    m_context.loop.cancel(m_deadlineTimer);
    answer.id = m_request.id;
    if (!m_request.session.isEmpty())
        answer.token = m_context.sealer.seal(m_request.shop, m_request.session, m_session);
    Done done;
    std::swap(done, m_done);
    done(std::move(answer));
}

void RequestRun::refuse(ResultCode code, std::string message)
{
    StatementAnswer answer;
    answer.code = code;
    answer.message = std::move(message);
    finish(std::move(answer));
}

void RequestRun::decide(std::string what, std::string why) const
{
    if (m_context.onDecision)
        m_context.onDecision({ m_request.id, m_request.database, std::move(what), std::move(why) });
}

void RequestRun::decideRetry(std::string what, std::string why) const
{
    if (m_context.onDecision)
        m_context.onDecision({ m_request.id, m_request.database, std::move(what), std::move(why), true });
}

TargetId RequestRun::primaryToAsk()
{
    const TargetId& primary = view().primary;
    const bool isKnown = std::any_of(m_group->targets.begin(), m_group->targets.end(), [&primary](const TargetConfiguration& it) { return it.id == primary; });
    if (isKnown && !m_mustAskOthers)
        return primary;
    m_mustAskOthers = false;
    return m_group->targets[m_asks++ % m_group->targets.size()].id;
}

}
