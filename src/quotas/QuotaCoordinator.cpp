#include "quotas/QuotaCoordinator.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds tickInterval { 100 };
    constexpr Milliseconds idleTickInterval { 500 };
    /// A longer gap between ticks means that this process was suspended, and others may act meanwhile.
    constexpr Milliseconds maxTickGap { 1000 };
    constexpr Milliseconds sendInterval { 500 };
    /// A new coordinator has a small share at first, which does not mean that organisations are over their limits.
    constexpr Milliseconds settlingPeriod { 1500 };
    /// A domain without known holders may have some that were not read yet. Rows of the leases last 6.6 s.
    constexpr Milliseconds unknownDomainPeriod { 8000 };

}

QuotaCoordinator::QuotaCoordinator(Context context)
    : m_context(std::move(context))
{
    m_context.domains.insert(m_context.domain);
    for (const auto& it : m_context.domains) {
        if (it != m_context.domain)
            m_remotes[it];
    }
}

QuotaCoordinator::~QuotaCoordinator()
{
    m_context.loop.cancel(m_timer);
    m_context.loop.cancel(m_exchangeTimer);
    m_context.loop.cancel(m_askTimer);
}

void QuotaCoordinator::start()
{
    m_tickedAt = m_context.loop.now();
    beginAnew();
    tick();
}

void QuotaCoordinator::setOrganisations(std::shared_ptr<const OrganisationDirectory> organisations)
{
    m_organisations = std::move(organisations);
    for (auto& [id, lender] : m_lenders) {
        const Organisation* it = m_organisations ? m_organisations->find(id) : nullptr;
        const OperationLimit limit = it ? it->limit : OperationLimit {};
        const bool isLower = limit.perSecond < lender.limit().perSecond || limit.burst < lender.limit().burst;
        lender.setLimit(limit);
        if (isLower && m_isActing)
            lender.setShare(m_shares->share(id), acting(), m_context.loop.now());
    }
}

void QuotaCoordinator::tick()
{
    const Instant now = m_context.loop.now();
    const bool holdsRow = m_context.holdsRow();
    if (now - m_tickedAt > maxTickGap || (holdsRow && !m_heldRow))
        beginAnew();
    m_tickedAt = now;
    m_heldRow = holdsRow;
    if (!holdsRow || !m_organisations) {
        stopActing();
    } else {
        updateSettled();
        decideActing();
        const bool isRegular = now - m_sentAt >= sendInterval;
        if (isRegular || !m_isSettled)
            sendBeats(!m_isSettled);
        if (isRegular)
            m_sentAt = now;
        if (m_isActing) {
            updateValidity();
            for (auto& [id, it] : m_lenders)
                it.updateDemand(acting());
            updateShares();
            sendExchanges(isRegular);
            refreshHolders();
        }
    }
    m_timer = m_context.loop.after(m_heldRow && m_organisations ? tickInterval : idleTickInterval, [this] { tick(); });
}

void QuotaCoordinator::beginActing()
{
    const Instant now = m_context.loop.now();
    m_isActing = true;
    m_actingSince = now;
    // Later than the numbers of an earlier process.
    m_transferNumber = std::max(m_transferNumber, static_cast<uint64_t>(now.sinceEpoch()));
    m_term = std::max(m_term + 1, static_cast<uint64_t>(now.sinceEpoch()));
    m_isValid = true;
    renewDomainShares(m_shares ? m_shares->term() : 0);
    m_refreshes = 0;
    takeOver();
    m_context.log.write("quota_coordinator", { { "change", "gained" }, { "failure_domain", m_context.domain.value() } });
}

void QuotaCoordinator::stopActing()
{
    if (!m_isActing)
        return;
    m_isActing = false;
    m_lenders.clear();
    m_reports.clear();
    m_context.log.write("quota_coordinator", { { "change", "lost" }, { "failure_domain", m_context.domain.value() } });
}

// Other domains take an earlier term for the past, so the new one must be later than any that they know.
void QuotaCoordinator::renewDomainShares(uint64_t earlierTerm)
{
    const auto now = static_cast<uint64_t>(m_context.loop.now().sinceEpoch());
    m_shares = std::make_unique<DomainShares>(m_context.domain, m_context.domains, std::max(earlierTerm + 1, now));
    for (auto& [domain, it] : m_remotes)
        it.sentVersion = 0;
    m_shares->setPresent(presentDomains());
    m_shares->setValid(m_isValid);
}

std::set<FailureDomainId> QuotaCoordinator::presentDomains() const
{
    const Instant now = m_context.loop.now();
    std::set<FailureDomainId> present;
    for (const auto& it : m_holders)
        present.insert(it.domain);
    for (const auto& [domain, it] : m_remotes) {
        if (now - it.heardAt < maxRemoteSilence || now - m_actingSince < unknownDomainPeriod)
            present.insert(domain);
    }
    return present;
}

// The parts of all domains are certain while this daemon's row is valid, and also while all domains hear each other. Otherwise other
// domains may take this one's part.
void QuotaCoordinator::updateValidity()
{
    const Instant now = m_context.loop.now();
    const auto present = presentDomains();
    m_shares->setPresent(present);
    const bool areAllHeard = std::all_of(m_remotes.begin(), m_remotes.end(), [&](const auto& it) { return present.count(it.first) == 0 || now - it.second.heardAt < maxRemoteSilence; });
    const bool isValid = areAllHeard || m_context.isRowValid();
    if (m_isValid && !isValid) {
        m_isValid = false;
        renewDomainShares(m_shares->term());
    }
    m_isValid = isValid;
    m_shares->setValid(isValid);
}

void QuotaCoordinator::updateShares()
{
    const Instant now = m_context.loop.now();
    const uint64_t before = m_shares->version();
    for (auto& [id, it] : m_lenders) {
        it.expire(now);
        m_shares->setOwn(id, it.demand(), it.used());
        it.setShare(m_shares->share(id), acting(), now);
    }
    if (m_shares->version() != before)
        exchangeSoon();
}

OrganisationLender* QuotaCoordinator::lenderOf(const OrganisationId& id)
{
    auto it = m_lenders.find(id);
    if (it != m_lenders.end())
        return &it->second;
    const Organisation* organisation = m_organisations ? m_organisations->find(id) : nullptr;
    if (!organisation)
        return nullptr;
    OrganisationLender& lender = m_lenders.try_emplace(id, organisation->limit).first->second;
    begin(id, lender);
    return &lender;
}

void QuotaCoordinator::begin(const OrganisationId& id, OrganisationLender& lender)
{
    const Instant now = m_context.loop.now();
    const double share = m_shares->share(id);
    lender.setShare(share, acting(), now);
    if (acting() >= OrganisationLender::smallBucketPeriod)
        return;
    auto lent = m_predecessorLent.find(id);
    // Shares may have been lent until the next list was due.
    if (lent != m_predecessorLent.end() && now - m_predecessorHeardAt < predecessorAge)
        lender.takeOver(lent->second, m_predecessorHeardAt + lentListInterval + ShareLender::Rules().validity);
    else
        lender.beginSmall();
    lender.setShare(share, acting(), now);
}

QuotaAnswer QuotaCoordinator::answer(const QuotaReport& report)
{
    QuotaAnswer answer;
    answer.report = report.number;
    if (!m_isActing) {
        for (const auto& [instance, it] : m_neighbours) {
            if (it.isActing && m_context.loop.now() - it.heardAt < maxSilence)
                answer.coordinatorAddress = it.address;
        }
        return answer;
    }
    answer.coordinator = m_term;
    uint64_t& last = m_reports[report.instance];
    // A repeated report would spend units twice, a late one confirm shares that were replaced.
    if (report.number <= last)
        return answer;
    last = report.number;
    answer.keepsOthers = true;
    for (const auto& it : report.entries) {
        const auto entry = answerEntry(report, it);
        // Nothing changes for a daemon that keeps its share or reported only its demand.
        const bool isKept = entry.number != 0 && report.coordinator == m_term && entry.number == it.confirmed;
        if (!isKept && (entry.share.amount > 0 || it.held.amount > 0 || it.waiting > 0))
            answer.entries.push_back(entry);
    }
    return answer;
}

QuotaAnswer::Entry QuotaCoordinator::answerEntry(const QuotaReport& report, const QuotaReport::Entry& entry)
{
    const Instant now = m_context.loop.now();
    QuotaAnswer::Entry answer;
    answer.organisation = entry.organisation;
    answer.isOverLimit = entry.waiting > 0;
    OrganisationLender* lender = lenderOf(entry.organisation);
    if (!lender || lender->limit().perSecond <= 0)
        return answer;
    const std::string& daemon = report.instance.value();
    if (entry.demand <= 0 && entry.held.amount <= 0 && entry.waiting <= 0) {
        lender->release(daemon, now);
        return answer;
    }
    ShareLender::Request request;
    request.demand = entry.demand;
    request.held = entry.held;
    request.heldFor = entry.heldFor;
    request.returned = entry.returned;
    request.wanted = entry.waiting;
    request.confirmed = report.coordinator == m_term ? entry.confirmed : 0;
    request.unitsOnly = lender->isNew(acting());
    const auto given = lender->answer(daemon, request, now);
    answer.share = given.share;
    answer.units = given.units;
    answer.isOverLimit = given.isShort && given.isOverloaded && acting() >= settlingPeriod;
    answer.freeRate = lender->lender().freeAmount();
    answer.number = given.number;
    if (given.isShort)
        askOthersSoon();
    return answer;
}

std::vector<QuotaCoordinator::Lending> QuotaCoordinator::lendings() const
{
    std::vector<Lending> result;
    for (const auto& [id, it] : m_lenders) {
        const ShareLender& lender = it.lender();
        const double limit = it.limit().perSecond;
        result.push_back({ id, limit, limit > 0 ? lender.capacity().amount / limit : 0, lender.reserved().amount, lender.demand(), lender.borrowers() });
    }
    return result;
}

}
