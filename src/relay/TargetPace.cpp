#include "relay/TargetPace.h"

namespace parsleypaddle {

namespace {

    /// Shortest time between two log lines about one target with the same reason, so that a target that flaps does not fill the log.
    constexpr Milliseconds logInterval { 2000 };

}

TargetPace::TargetPace(TargetHealth& health, const ConcurrencyBounds& bounds, uint64_t seed, OnChange onChange)
    : m_health(health)
    , m_limit(bounds)
    , m_onChange(std::move(onChange))
{
    m_health.avoidInProportion(seed);
}

void TargetPace::begin(PaceReason reason, Instant now)
{
    m_health.failures()->expectRecovery(now);
    if (!m_health.failures()->isSuspected())
        m_limit.begin(reason);
    followHealth(now);
}

void TargetPace::recordAnswer(const AnsweredStatement& answer, Instant now)
{
    m_health.recordAnswer(answer.latency, now);
    m_limit.recordAnswer(answer, now);
    followHealth(now);
}

void TargetPace::recordBusy(Instant sentAt, Instant now)
{
    m_health.failures()->recordRefusal(now);
    m_limit.recordBusy(sentAt, now);
    followHealth(now);
}

void TargetPace::recordFailure(Instant sentAt, Instant now)
{
    m_health.failures()->recordFailure(now);
    m_limit.recordFailure(sentAt, now);
    followHealth(now);
}

void TargetPace::recordUnreachable(Instant now)
{
    m_health.recordUnreachable(now);
    followHealth(now);
}

void TargetPace::followHealth(Instant now)
{
    const bool isSuspected = m_health.failures()->isSuspected();
    if (isSuspected)
        m_limit.suspect();
    else if (m_limit.phase() == PacePhase::Suspected)
        m_limit.begin(PaceReason::Recovered);
    const auto reason = m_limit.takeChange();
    if (!reason || !m_onChange)
        return;
    const auto last = m_loggedAt.find(*reason);
    const bool isLogged = last == m_loggedAt.end() || now - last->second >= logInterval;
    if (isLogged)
        m_loggedAt[*reason] = now;
    m_onChange({ m_limit.limit(), *reason, isLogged });
}

}
