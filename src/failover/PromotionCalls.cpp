#include "failover/PromotionCalls.h"

#include "platform_ports/PlatformPorts.h"

namespace parsleypaddle {

void PromotionCalls::reset()
{
    m_firstCounted = m_lastCall + 1;
    m_isLastUnanswered = false;
    m_isLastUnexecuted = false;
    m_acceptedAt.reset();
    m_unansweredUntil.reset();
}

uint64_t PromotionCalls::begin()
{
    m_isCallOut = true;
    return ++m_lastCall;
}

void PromotionCalls::end(uint64_t call, Outcome outcome, Instant now)
{
    m_isCallOut = false;
    if (call < m_firstCounted)
        return;
    m_isLastUnexecuted = outcome == Outcome::Unexecuted;
    // It says nothing of the calls before it.
    if (m_isLastUnexecuted)
        return;
    m_isLastUnanswered = outcome == Outcome::Unanswered;
    if (outcome == Outcome::Accepted)
        m_acceptedAt = now;
    if (outcome == Outcome::Unanswered)
        m_unansweredUntil = now + PromotionPort::maxCallDelay + PromotionPort::maxPromotionTime;
}

std::optional<Instant> PromotionCalls::unansweredUntil(Instant now) const
{
    if (isCountedCallOut())
        return now + PromotionPort::maxUnansweredTime;
    return m_unansweredUntil;
}

std::optional<Instant> PromotionCalls::acceptedUntil() const
{
    return m_acceptedAt ? std::make_optional(*m_acceptedAt + PromotionPort::maxPromotionTime) : std::nullopt;
}

}
