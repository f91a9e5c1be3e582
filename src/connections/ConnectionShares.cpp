#include "connections/ConnectionShares.h"

#include <tuple>

namespace parsleypaddle {

void ConnectionShares::addWaiter(const OrganisationId& organisation)
{
    ++shareOf(organisation).waiting;
}

void ConnectionShares::removeWaiter(const OrganisationId& organisation)
{
    --shareOf(organisation).waiting;
    eraseIfUnused(organisation);
}

void ConnectionShares::recordAcquired(const OrganisationId& organisation)
{
    Share& share = shareOf(organisation);
    --share.waiting;
    ++share.held;
    ++m_inUse;
    share.lastTurn = ++m_lastTurn;
}

void ConnectionShares::recordReleased(const OrganisationId& organisation)
{
    --shareOf(organisation).held;
    --m_inUse;
    eraseIfUnused(organisation);
}

void ConnectionShares::addAttempt(const OrganisationId& organisation)
{
    ++shareOf(organisation).attempts;
    ++m_attempts;
    ++m_inUse;
}

void ConnectionShares::removeAttempt(const OrganisationId& organisation)
{
    --shareOf(organisation).attempts;
    --m_attempts;
    --m_inUse;
    eraseIfUnused(organisation);
}

bool ConnectionShares::isWaiting(const OrganisationId& organisation) const
{
    auto it = m_shares.find(organisation);
    return it != m_shares.end() && it->second.waiting > 0;
}

bool ConnectionShares::needsAttempt(const OrganisationId& organisation) const
{
    auto it = m_shares.find(organisation);
    return it != m_shares.end() && it->second.waiting > it->second.attempts;
}

std::optional<OrganisationId> ConnectionShares::next() const
{
    const std::pair<const OrganisationId, Share>* best = nullptr;
    for (const auto& it : m_shares) {
        if (it.second.waiting <= it.second.attempts)
            continue;
        if (!best || std::make_tuple(it.second.inUse(), it.second.lastTurn) < std::make_tuple(best->second.inUse(), best->second.lastTurn))
            best = &it;
    }
    return best ? std::make_optional(best->first) : std::nullopt;
}

int64_t ConnectionShares::compareUse(const OrganisationId& a, const OrganisationId& b) const
{
    return static_cast<int64_t>(inUse(a)) - static_cast<int64_t>(inUse(b));
}

ConnectionShares::Share& ConnectionShares::shareOf(const OrganisationId& organisation)
{
    auto [it, isNew] = m_shares.try_emplace(organisation);
    if (isNew)
        it->second.lastTurn = ++m_lastTurn;
    return it->second;
}

uint32_t ConnectionShares::inUse(const OrganisationId& organisation) const
{
    auto it = m_shares.find(organisation);
    return it == m_shares.end() ? 0 : it->second.inUse();
}

void ConnectionShares::eraseIfUnused(const OrganisationId& organisation)
{
    auto it = m_shares.find(organisation);
    if (it->second.inUse() == 0 && it->second.waiting == 0)
        m_shares.erase(it);
}

}
