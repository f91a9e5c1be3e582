#include "quotas/QuotaCoordinator.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// Lists that arrive within this time belong together.
    constexpr Milliseconds listPartsPeriod { 250 };

}

void QuotaCoordinator::setHolders(const std::vector<QuotaHolder>& holders)
{
    const Instant now = m_context.loop.now();
    m_holders = holders;
    m_ranked = rankedQuotaHolders(holders, m_context.domain);
    std::map<InstanceId, Neighbour> neighbours;
    for (const auto& it : m_ranked) {
        if (it.instance == m_context.instance)
            continue;
        auto known = m_neighbours.find(it.instance);
        Neighbour& neighbour = neighbours[it.instance];
        if (known != m_neighbours.end())
            neighbour = known->second;
        else
            neighbour.listedAt = now;
        neighbour.address = it.address;
    }
    m_neighbours = std::move(neighbours);
}

// What other processes act on is not known after a start or a suspension.
void QuotaCoordinator::beginAnew()
{
    stopActing();
    m_begunAt = m_context.loop.now();
    m_isSettled = false;
    m_predecessorLent.clear();
    for (auto& [instance, it] : m_neighbours)
        it.listedAt = m_begunAt;
}

// A holder knows what has been lent when the others have told, or when all earlier shares have expired.
void QuotaCoordinator::updateSettled()
{
    const bool haveAllAnswered = std::all_of(m_neighbours.begin(), m_neighbours.end(), [this](const auto& it) { return it.second.heardAt >= m_begunAt; });
    m_isSettled = m_isSettled || (haveAllAnswered && !m_ranked.empty()) || m_context.loop.now() - m_begunAt >= ShareLender::Rules().validity;
}

bool QuotaCoordinator::isFirst(Instant now) const
{
    for (const auto& it : m_ranked) {
        if (it.instance == m_context.instance)
            return true;
        const Neighbour& neighbour = m_neighbours.at(it.instance);
        const bool isSilent = now - std::max(neighbour.heardAt, neighbour.listedAt) >= maxSilence;
        if (!isSilent && (neighbour.isHolder || neighbour.heardAt < m_begunAt))
            return false;
    }
    // The own row was not read yet; it is not known which holders go before this one.
    return false;
}

void QuotaCoordinator::decideActing()
{
    const bool mayAct = m_isSettled && isFirst(m_context.loop.now());
    if (mayAct && !m_isActing)
        beginActing();
    else if (!mayAct && m_isActing)
        stopActing();
}

// The first claims hold the demand that the earlier coordinator knew, so that other domains do not take this one's part.
void QuotaCoordinator::takeOver()
{
    if (m_context.loop.now() - m_predecessorHeardAt >= predecessorAge)
        return;
    for (const auto& [id, it] : m_predecessorLent)
        lenderOf(id);
    updateShares();
}

QuotaBeat QuotaCoordinator::beat(bool needsReply) const
{
    QuotaBeat beat;
    beat.instance = m_context.instance;
    beat.isHolder = m_context.holdsRow();
    beat.isActing = m_isActing;
    beat.needsReply = needsReply;
    for (const auto& [id, it] : m_lenders) {
        const ShareLender& lender = it.lender();
        if (lender.reserved().amount > 0 || it.demand() > 0 || lender.level() < lender.capacity().depth)
            beat.entries.push_back({ id, lender.reserved(), lender.level(), it.demand() });
    }
    return beat;
}

// What is lent is sent to the holder that acts next.
void QuotaCoordinator::sendBeats(bool needsReply)
{
    const Instant now = m_context.loop.now();
    const QuotaBeat full = beat(needsReply);
    QuotaBeat brief = full;
    brief.entries.clear();
    bool isNext = true;
    // The lists are long with many organisations, and shares last longer than this.
    const bool isListDue = now - m_listedLentAt >= lentListInterval;
    if (isListDue)
        m_listedLentAt = now;
    for (const auto& it : m_ranked) {
        if (it.instance == m_context.instance)
            continue;
        const Neighbour& neighbour = m_neighbours.at(it.instance);
        const bool isHeard = now - neighbour.heardAt < maxSilence;
        for (const auto& datagram : encodeQuotaMessage(isListDue && isNext && isHeard ? full : brief))
            m_context.port.send(it.address, datagram);
        isNext = isNext && !isHeard;
    }
}

void QuotaCoordinator::handle(const TargetAddress& from, const QuotaBeat& message)
{
    const Instant now = m_context.loop.now();
    auto it = m_neighbours.find(message.instance);
    if (it != m_neighbours.end()) {
        it->second.heardAt = now;
        it->second.isHolder = message.isHolder;
        it->second.isActing = message.isActing;
    }
    if (message.isActing) {
        if (!message.entries.empty() && now - m_predecessorHeardAt > listPartsPeriod)
            m_predecessorLent.clear();
        if (!message.entries.empty())
            m_predecessorHeardAt = now;
        for (const auto& entry : message.entries)
            m_predecessorLent[entry.organisation] = entry;
    }
    if (!message.needsReply)
        return;
    for (const auto& datagram : encodeQuotaMessage(beat(false)))
        m_context.port.send(from, datagram);
}

}
