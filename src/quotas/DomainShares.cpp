#include "quotas/DomainShares.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    /// Smaller changes of demand or claim are not sent: demand fluctuates, and what leaves a domain must stay small.
    constexpr double demandStep = 0.2;
    constexpr double minDemandStep = 0.8;
    constexpr double claimStep = 0.005;

    bool isDemandChanged(double sent, double present)
    {
        if ((sent == 0) != (present == 0))
            return true;
        return std::abs(present - sent) > std::max(minDemandStep, demandStep * sent);
    }

}

DomainShares::DomainShares(FailureDomainId own, const std::set<FailureDomainId>& domains, uint64_t term)
    : m_domainCount(std::max<size_t>(1, domains.size() + (domains.count(own) == 0 ? 1 : 0)))
    , m_term(term)
{
    for (const auto& it : domains) {
        if (it != own)
            m_remotes[it];
    }
}

void DomainShares::setPresent(const std::set<FailureDomainId>& present)
{
    for (auto& [domain, remote] : m_remotes)
        remote.isPresent = present.count(domain) > 0;
}

double DomainShares::claimOf(const Remote& remote, const OrganisationId& organisation) const
{
    if (!remote.isPresent)
        return smallShare();
    if (remote.term == 0)
        return 1;
    auto it = remote.claims.find(organisation);
    if (it != remote.claims.end())
        return it->second.claim;
    return remote.isComplete ? equalShare() : 1;
}

double DomainShares::unclaimed(const OrganisationId& organisation) const
{
    double left = 1;
    for (const auto& [domain, remote] : m_remotes)
        left -= claimOf(remote, organisation);
    return left;
}

// Without any demand the parts are equal, so that the first operation is served wherever it arrives.
double DomainShares::fairShare(const OrganisationId& organisation, double ownDemand) const
{
    double sum = ownDemand;
    for (const auto& [domain, remote] : m_remotes) {
        auto it = remote.claims.find(organisation);
        if (remote.isPresent && it != remote.claims.end())
            sum += it->second.demand;
    }
    return sum <= 0 ? equalShare() : smallShare() + (1 - smallShares) * ownDemand / sum;
}

void DomainShares::updateClaim(Own& own, double demand)
{
    // All domains compute with the demand that was sent, so that their claims add up to the limit.
    const double sent = isDemandChanged(own.claim.demand, demand) ? demand : own.claim.demand;
    const double claim = std::min(1.0, std::max(fairShare(own.claim.organisation, sent), own.used));
    if (own.claim.version != 0 && sent == own.claim.demand && std::abs(claim - own.claim.claim) <= claimStep)
        return;
    own.claim.demand = sent;
    own.claim.claim = claim;
    own.claim.version = ++m_version;
    for (auto& [domain, remote] : m_remotes) {
        auto [it, isNew] = own.confirmed.try_emplace(domain, remote.hasConfirmed ? equalShare() : smallShare());
        it->second = std::min(it->second, claim);
    }
}

DomainShares::Own& DomainShares::ownOf(const OrganisationId& organisation)
{
    auto it = m_own.find(organisation);
    if (it != m_own.end())
        return it->second;
    const double unused = share(organisation);
    Own& own = m_own[organisation];
    own.claim.organisation = organisation;
    own.share = unused;
    return own;
}

void DomainShares::setOwn(const OrganisationId& organisation, double demand, double used)
{
    if (demand <= 0 && used <= 0 && m_own.count(organisation) == 0)
        return;
    Own& own = ownOf(organisation);
    own.used = used;
    updateClaim(own, demand);
}

void DomainShares::remove(const OrganisationId& organisation)
{
    auto it = m_own.find(organisation);
    if (it != m_own.end())
        setOwn(organisation, 0, 0);
}

bool DomainShares::apply(const FailureDomainId& domain, const ClaimUpdate& update)
{
    auto it = m_remotes.find(domain);
    if (it == m_remotes.end() || update.term < it->second.term)
        return false;
    Remote& remote = it->second;
    if (update.term > remote.term) {
        if (update.from != 0)
            return false;
        remote.term = update.term;
        remote.received = 0;
        remote.isComplete = false;
        remote.claims.clear();
        // What the earlier coordinator had received says nothing about the new one, which may have got a part of the claims.
        remote.confirmed = 0;
    }
    noteConfirmation(domain, remote, update);
    // Claims that lack others before them are sent again.
    if (update.from > remote.received)
        return false;
    const bool isNew = update.to > remote.received;
    remote.received = std::max(remote.received, update.to);
    remote.isComplete = remote.isComplete || remote.received >= update.latest;
    if (!isNew)
        return false;
    for (const auto& claim : update.claims) {
        DomainClaim& known = remote.claims[claim.organisation];
        if (claim.version > known.version)
            known = claim;
        // A domain without demand gives up its equal share.
        Own& own = ownOf(claim.organisation);
        updateClaim(own, own.claim.demand);
    }
    return !update.claims.empty();
}

void DomainShares::noteConfirmation(const FailureDomainId& domain, Remote& remote, const ClaimUpdate& update)
{
    if (update.confirmedTerm != m_term) {
        // The domain has a new coordinator, which takes unknown claims for the greatest possible ones.
        remote.hasConfirmed = remote.hasConfirmed && update.confirmedTerm != 0;
        return;
    }
    remote.hasConfirmed = true;
    remote.confirmed = std::max(remote.confirmed, update.confirmed);
    for (auto& [organisation, own] : m_own) {
        if (own.claim.version != 0 && own.claim.version <= update.confirmed)
            own.confirmed[domain] = own.claim.claim;
    }
}

ClaimUpdate DomainShares::updateFor(const FailureDomainId& domain) const
{
    ClaimUpdate update;
    update.term = m_term;
    update.to = m_version;
    update.latest = m_version;
    auto it = m_remotes.find(domain);
    if (it == m_remotes.end())
        return update;
    update.from = it->second.hasConfirmed ? it->second.confirmed : 0;
    update.confirmedTerm = it->second.term;
    update.confirmed = it->second.received;
    for (const auto& [organisation, own] : m_own) {
        if (own.claim.version > update.from)
            update.claims.push_back(own.claim);
    }
    std::sort(update.claims.begin(), update.claims.end(), [](const DomainClaim& a, const DomainClaim& b) { return a.version < b.version; });
    return update;
}

uint64_t DomainShares::termOf(const FailureDomainId& domain) const
{
    auto it = m_remotes.find(domain);
    return it == m_remotes.end() ? 0 : it->second.term;
}

bool DomainShares::isConnected(const FailureDomainId& domain) const
{
    auto it = m_remotes.find(domain);
    return it != m_remotes.end() && it->second.hasConfirmed;
}

double DomainShares::confirmedLimit(const Own& own) const
{
    double limit = own.claim.claim;
    for (const auto& [domain, remote] : m_remotes) {
        auto it = own.confirmed.find(domain);
        if (remote.isPresent)
            limit = std::min(limit, it == own.confirmed.end() ? smallShare() : it->second);
    }
    return limit;
}

double DomainShares::share(const OrganisationId& organisation)
{
    if (!m_isValid)
        return smallShare();
    auto it = m_own.find(organisation);
    if (it == m_own.end()) {
        const bool areAllConnected = std::all_of(m_remotes.begin(), m_remotes.end(), [](const auto& remote) { return !remote.second.isPresent || remote.second.hasConfirmed; });
        return areAllConnected ? std::max(smallShare(), std::min(equalShare(), unclaimed(organisation))) : smallShare();
    }
    Own& own = it->second;
    own.share = std::max({ smallShare(), std::min(own.share, fairShare(organisation, own.claim.demand)), std::min(confirmedLimit(own), unclaimed(organisation)) });
    own.share = std::min(own.share, std::max(smallShare(), own.claim.claim));
    return own.share;
}

}
