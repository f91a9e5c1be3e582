#include "relay/RelayDrain.h"

#include "relay/CallerSession.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds stepInterval { 50 };
    /// The load balancer sends new connections until it has checked readiness twice, one second apart.
    constexpr Milliseconds balancerDelay { 2200 };
    /// Interval at which the last sessions are checked for an answered statement.
    constexpr Milliseconds lastStepInterval { 10 };
    /// Fractions of the grace period: open transactions are rolled back after the first, no further sessions are accepted after the
    /// second, and statements that are still running are cut off after the third.
    constexpr double transactionGraceFraction = 0.5;
    constexpr double listeningGraceFraction = 0.85;
    constexpr double totalGraceFraction = 0.96;

}

RelayDrain::RelayDrain(EventLoop& loop, Relay& relay, Milliseconds grace)
    : m_loop(loop)
    , m_relay(relay)
    , m_grace(grace)
{
}

void RelayDrain::startDraining(DrainCallbacks steps)
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_startedAt = m_loop.now();
    m_steps = std::move(steps);
    m_loop.after(balancerDelay, [this] { closeNextSessions(); });
}

void RelayDrain::closeNextSessions()
{
    const Milliseconds passed = m_loop.now() - m_startedAt;
    const auto sessions = m_relay.allSessions();
    if (sessions.empty() || passed >= m_grace * listeningGraceFraction)
        return stopListening();
    closeSessions(sessions, passed);
    m_loop.after(stepInterval, [this] { closeNextSessions(); });
}

// A caller that uses its session without pauses is hardly ever found idle, so its session is closed with an answer. A peer daemon may
// send its next statement in the same moment, for another caller who would then not know whether it ran.
void RelayDrain::closeSessions(const std::vector<std::shared_ptr<CallerSession>>& sessions, Milliseconds passed)
{
    const auto remaining = std::count_if(sessions.begin(), sessions.end(), [](const auto& it) { return !it->isClosing(); });
    const double stepsLeft = std::max(1.0, (m_grace * transactionGraceFraction - passed).count() / stepInterval.count());
    size_t sessionsToClose = static_cast<size_t>(static_cast<double>(remaining) / stepsLeft) + 1;
    for (const auto& it : sessions) {
        if (passed >= m_grace * transactionGraceFraction)
            it->endTransaction("the daemon is shutting down");
        const bool mayClose = sessionsToClose > 0 && (it->kind() == CallerKind::Caller || it->isIdle());
        if (!mayClose && !it->isClosing())
            continue;
        if (!it->isClosing())
            --sessionsToClose;
        it->closeAfter(SessionEnd::AfterOperation);
    }
}

void RelayDrain::stopListening()
{
    m_steps.stopListening();
    closeAnsweredSessions();
}

// A statement that has been read must be answered before its session is closed, also if it arrived just before the daemon stopped
// listening.
void RelayDrain::closeAnsweredSessions()
{
    bool isAnyRunning = false;
    for (const auto& it : m_relay.allSessions()) {
        if (it->kind() == CallerKind::Caller)
            it->closeAfter(SessionEnd::AfterStatement);
        else if (!it->hasUnansweredStatement())
            it->close();
        isAnyRunning = isAnyRunning || it->hasUnansweredStatement();
    }
    if (!isAnyRunning || m_loop.now() - m_startedAt >= m_grace * totalGraceFraction)
        return finish();
    m_loop.after(lastStepInterval, [this] { closeAnsweredSessions(); });
}

void RelayDrain::finish()
{
    for (const auto& it : m_relay.allSessions())
        it->close();
    m_steps.releaseLease(m_steps.onStopped);
}

}
