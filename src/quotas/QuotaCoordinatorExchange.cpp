#include "quotas/QuotaCoordinator.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// Changes that become due within this time are sent together. A new coordinator exchanges faster, since it has only a small share
    /// before the others have confirmed its claims.
    constexpr Milliseconds exchangeDelay { 100 };
    constexpr Milliseconds firstExchangeDelay { 20 };
    constexpr Milliseconds firstExchangePeriod { 5000 };
    constexpr Milliseconds refreshInterval { 400 };
    constexpr uint32_t maxRefreshes = 12;
    /// Requests to other domains that become due within this time are sent together.
    constexpr Milliseconds askDelay { 10 };

}

// Other domains may have parts that their callers do not need any more.
void QuotaCoordinator::askOthersSoon()
{
    if (m_askTimer == TimerId::None)
        m_askTimer = m_context.loop.after(askDelay, [this] { askOthers(); });
    exchangeSoon();
}

void QuotaCoordinator::handle(const TargetAddress& from, const QuotaExchange& exchange)
{
    auto it = m_remotes.find(exchange.domain);
    if (!m_isActing || it == m_remotes.end())
        return;
    it->second.heardAt = m_context.loop.now();
    it->second.address = from;
    if (exchange.update.confirmedTerm > m_shares->term())
        renewDomainShares(exchange.update.confirmedTerm);
    const bool wasConnected = m_shares->isConnected(exchange.domain);
    const bool hasClaims = m_shares->apply(exchange.domain, exchange.update);
    if (hasClaims)
        updateShares();
    // The sender may use more only when its claims are confirmed.
    m_mustConfirm = m_mustConfirm || hasClaims || exchange.update.confirmedTerm != m_shares->term() || !wasConnected;
    if (m_mustConfirm)
        exchangeSoon();
}

void QuotaCoordinator::exchangeSoon()
{
    if (m_exchangeTimer != TimerId::None)
        return;
    const Milliseconds delay = acting() < firstExchangePeriod ? firstExchangeDelay : exchangeDelay;
    m_exchangeTimer = m_context.loop.after(delay, [this] {
        m_exchangeTimer = TimerId::None;
        if (!m_isActing)
            return;
        updateShares();
        const bool mustConfirm = std::exchange(m_mustConfirm, false);
        for (auto& [domain, it] : m_remotes) {
            if (mustConfirm || m_shares->version() > it.sentVersion)
                sendExchange(domain, it);
        }
    });
}

void QuotaCoordinator::sendExchanges(bool isRegular)
{
    for (auto& [domain, it] : m_remotes) {
        if (isRegular || !m_shares->isConnected(domain))
            sendExchange(domain, it);
    }
}

void QuotaCoordinator::sendExchange(const FailureDomainId& domain, RemoteDomain& remote)
{
    const Instant now = m_context.loop.now();
    TargetAddress to = remote.address;
    if (now - remote.heardAt >= maxRemoteSilence) {
        const auto holders = rankedQuotaHolders(m_holders, domain);
        if (holders.empty())
            return;
        to = holders[remote.nextHolder++ % holders.size()].address;
    }
    remote.sentVersion = m_shares->version();
    for (const auto& it : encodeQuotaMessage(QuotaExchange { m_context.domain, m_shares->updateFor(domain) }))
        m_context.port.send(to, it);
}

// A part of a limit that is not used where it is may be needed elsewhere before the parts have changed. Units are taken out of one bucket
// before they are put into another, so a lost transfer loses units and never makes any.
void QuotaCoordinator::askOthers()
{
    m_askTimer = TimerId::None;
    if (!m_isActing)
        return;
    const Instant now = m_context.loop.now();
    std::vector<QuotaTransfer::Entry> entries;
    for (auto& [id, it] : m_lenders) {
        const double missing = it.takeMissing(now);
        if (missing > 0)
            entries.push_back({ id, missing, 0 });
    }
    if (entries.empty())
        return;
    for (const auto& [domain, it] : m_remotes) {
        if (now - it.heardAt < maxRemoteSilence)
            send(domain, entries);
    }
}

void QuotaCoordinator::send(const FailureDomainId& domain, std::vector<QuotaTransfer::Entry> entries)
{
    std::vector<QuotaTransfer> transfers;
    size_t bytes = quotaEntriesBytes;
    for (auto& it : entries) {
        const size_t added = quotaEntryBytes(it.organisation);
        if (bytes + added > quotaEntriesBytes) {
            transfers.push_back({ m_context.domain, m_shares->termOf(domain), ++m_transferNumber, {} });
            bytes = 0;
        }
        bytes += added;
        transfers.back().entries.push_back(std::move(it));
    }
    for (const auto& transfer : transfers) {
        for (const auto& it : encodeQuotaMessage(transfer))
            m_context.port.send(m_remotes[domain].address, it);
    }
}

void QuotaCoordinator::handle(const TargetAddress&, const QuotaTransfer& transfer)
{
    auto remote = m_remotes.find(transfer.domain);
    if (!m_isActing || remote == m_remotes.end() || transfer.receiver != m_shares->term() || transfer.number <= remote->second.lastTransfer)
        return;
    remote->second.lastTransfer = transfer.number;
    const Instant now = m_context.loop.now();
    std::vector<QuotaTransfer::Entry> answers;
    for (const auto& it : transfer.entries) {
        auto lender = m_lenders.find(it.organisation);
        if (it.given > 0 && lender != m_lenders.end())
            lender->second.addGiven(it.given);
        if (it.wanted <= 0)
            continue;
        OrganisationLender* giver = lenderOf(it.organisation);
        const double given = giver ? giver->takeSpare(it.wanted, now) : 0;
        if (given > 0)
            answers.push_back({ it.organisation, 0, given });
    }
    if (!answers.empty())
        send(transfer.domain, std::move(answers));
}

void QuotaCoordinator::refreshHolders()
{
    const Instant now = m_context.loop.now();
    const bool isAnyUnknown = std::any_of(m_remotes.begin(), m_remotes.end(), [this](const auto& remote) {
        return remote.second.heardAt < m_begunAt && rankedQuotaHolders(m_holders, remote.first).empty();
    });
    if (!isAnyUnknown || m_refreshes >= maxRefreshes || now - m_refreshedAt < refreshInterval)
        return;
    m_refreshedAt = now;
    ++m_refreshes;
    if (m_context.refreshHolders)
        m_context.refreshHolders();
}

}
