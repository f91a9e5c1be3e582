#include "quotas/QuotaCoordinator.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds tickInterval { 100 };
    constexpr Milliseconds idleTickInterval { 500 };
    /// A longer gap between ticks means that this process was suspended, and others may act meanwhile.
    constexpr Milliseconds maxTickGap { 1000 };
    constexpr Milliseconds sendInterval { 500 };
    constexpr Milliseconds lentListInterval { 900 };
    /// Changes that become due within this time are sent together.
    constexpr Milliseconds exchangeDelay { 20 };
    /// A holder that is silent for this long does not act: two of its messages were lost, or it is gone.
    constexpr Milliseconds maxSilence { 1100 };
    constexpr Milliseconds maxRemoteSilence { 1600 };
    /// A domain without known holders may have some that were not read yet. Rows of the leases last 6.6 s.
    constexpr Milliseconds unknownDomainPeriod { 8000 };
    constexpr Milliseconds refreshInterval { 400 };
    constexpr uint32_t maxRefreshes = 12;
    /// A predecessor may have given away the units of a full bucket within the present window.
    constexpr Milliseconds smallBucketPeriod { 5000 };
    /// What the buckets of all domains hold together in that period, as a part of what a window may hold and in units; half of the
    /// tolerated overage or less.
    constexpr double firstBucketPart = 0.05;
    constexpr double firstBucketUnits = 5;
    constexpr double windowSeconds = 5;
    /// Least units that a domain may save up, so that the first operation of an organisation is served wherever it arrives.
    constexpr double minDepth = 1.5;
    constexpr double minDemand = 0.05;
    /// Requests to other domains that become due within this time are sent together.
    constexpr Milliseconds askDelay { 2 };
    /// Delay between requests for units of one organisation, doubled while none are given: it is over its limit everywhere.
    constexpr Milliseconds minAskInterval { 40 };
    constexpr Milliseconds maxAskInterval { 640 };
    constexpr double maxMissing = 64;
    /// Part of a bucket that other domains may get at a time.
    constexpr double sparePart = 0.5;

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
        const bool isLower = limit.perSecond < lender.limit.perSecond || limit.burst < lender.limit.burst;
        lender.limit = limit;
        if (isLower && m_isActing)
            applyShare(id, lender);
    }
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
                smoothDemand(it);
            updateShares();
            sendExchanges(isRegular);
            refreshHolders();
        }
    }
    m_timer = m_context.loop.after(m_heldRow && m_organisations ? tickInterval : idleTickInterval, [this] { tick(); });
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

void QuotaCoordinator::applyShare(const OrganisationId& id, Lender& lender)
{
    const double share = m_shares->share(id);
    LentShare capacity { share * lender.limit.perSecond, 0 };
    if (lender.limit.perSecond > 0)
        capacity.depth = std::max(minDepth, share * lender.limit.burst);
    const LentShare& present = lender.lender.capacity();
    if (capacity.amount != present.amount || capacity.depth != present.depth)
        lender.lender.setCapacity(capacity, m_context.loop.now());
    addFirstUnits(lender, share);
}

// A new coordinator begins with small buckets, in proportion to its share, which grows in the first exchanges.
void QuotaCoordinator::addFirstUnits(Lender& lender, double share)
{
    if (m_context.loop.now() - m_actingSince >= smallBucketPeriod)
        return;
    const double before = lender.lender.level();
    lender.lender.addUnits(lender.earlierUnits);
    lender.earlierUnits -= lender.lender.level() - before;
    if (!lender.hasCredit || share <= lender.creditedShare)
        return;
    const double units = firstBucketUnits + firstBucketPart * (lender.limit.perSecond * windowSeconds + lender.limit.burst);
    lender.lender.addUnits((share - lender.creditedShare) * units);
    lender.creditedShare = share;
}

void QuotaCoordinator::smoothDemand(Lender& lender)
{
    // Time constants of 2 and 5 s.
    constexpr double riseWeight = 0.05;
    constexpr double fallWeight = 0.02;
    const double present = lender.lender.demand();
    if (present < minDemand)
        lender.demand = 0;
    else if (lender.demand == 0 || (lender.wasShort && present > lender.demand))
        lender.demand = present;
    else
        lender.demand += (present > lender.demand ? riseWeight : fallWeight) * (present - lender.demand);
    lender.wasShort = false;
}

void QuotaCoordinator::updateShares()
{
    const Instant now = m_context.loop.now();
    const uint64_t before = m_shares->version();
    for (auto& [id, it] : m_lenders) {
        it.lender.expire(now);
        const double used = it.limit.perSecond > 0 ? it.lender.reserved().amount / it.limit.perSecond : 0;
        m_shares->setOwn(id, it.demand, used);
        applyShare(id, it);
    }
    if (m_shares->version() != before)
        exchangeSoon();
}

QuotaCoordinator::Lender* QuotaCoordinator::lenderOf(const OrganisationId& id)
{
    auto it = m_lenders.find(id);
    if (it != m_lenders.end())
        return &it->second;
    const Organisation* organisation = m_organisations ? m_organisations->find(id) : nullptr;
    if (!organisation)
        return nullptr;
    const Instant now = m_context.loop.now();
    Lender& lender = m_lenders[id];
    lender.limit = organisation->limit;
    applyShare(id, lender);
    if (now - m_actingSince >= smallBucketPeriod)
        return &lender;
    lender.lender.limitLevel(minDepth);
    auto lent = m_predecessorLent.find(id);
    const Instant expiry = m_predecessorHeardAt + ShareLender::Rules().validity;
    if (lent != m_predecessorLent.end() && now < expiry) {
        lender.earlierUnits = std::max(0.0, lent->second.level - minDepth);
        lender.lender.presume(lent->second.lent, expiry);
    } else {
        lender.hasCredit = true;
        addFirstUnits(lender, m_shares->share(id));
    }
    return &lender;
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
    Lender* lender = lenderOf(entry.organisation);
    if (!lender || lender->limit.perSecond <= 0)
        return answer;
    const std::string& borrower = report.instance.value();
    if (entry.demand <= 0 && entry.held.amount <= 0 && entry.waiting <= 0) {
        lender->lender.release(borrower, now);
        return answer;
    }
    ShareLender::Request request;
    request.demand = entry.demand;
    request.held = entry.held;
    request.heldFor = entry.heldFor;
    request.returned = entry.returned;
    request.wanted = entry.waiting;
    request.confirmed = report.coordinator == m_term ? entry.confirmed : 0;
    const auto given = lender->lender.answer(borrower, request, now);
    answer.share = given.share;
    answer.units = given.units;
    answer.isOverLimit = given.isShort && given.isOverloaded;
    answer.freeRate = lender->lender.freeAmount();
    answer.number = given.number;
    // Other domains may have parts that their callers do not need any more.
    if (given.isShort) {
        lender->wasShort = true;
        lender->demand = std::max(lender->demand, lender->lender.demand());
        lender->missing = std::max(lender->missing, request.wanted - given.units);
        if (m_askTimer == TimerId::None)
            m_askTimer = m_context.loop.after(askDelay, [this] { askOthers(); });
        exchangeSoon();
    }
    return answer;
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
    m_exchangeTimer = m_context.loop.after(exchangeDelay, [this] {
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
    const Instant now = m_context.loop.now();
    std::vector<QuotaTransfer::Entry> entries;
    for (auto& [id, it] : m_lenders) {
        if (it.missing < 1 || now < it.nextAskAt || !m_isActing)
            continue;
        entries.push_back({ id, std::min(maxMissing, std::ceil(it.missing)), 0 });
        it.missing = 0;
        it.askDelay = std::clamp(it.askDelay * 2, minAskInterval, maxAskInterval);
        it.nextAskAt = now + it.askDelay;
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

double QuotaCoordinator::spareUnits(Lender& lender, double wanted, Instant now)
{
    lender.lender.expire(now);
    return lender.lender.takeUnits(std::min(wanted, std::ceil(lender.lender.level() * sparePart)), now);
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
        if (it.given > 0 && lender != m_lenders.end()) {
            lender->second.lender.addUnits(it.given);
            lender->second.askDelay = {};
            lender->second.nextAskAt = {};
        }
        if (it.wanted <= 0)
            continue;
        Lender* giver = lenderOf(it.organisation);
        const double given = giver ? spareUnits(*giver, it.wanted, now) : 0;
        if (given > 0)
            answers.push_back({ it.organisation, 0, given });
    }
    if (!answers.empty())
        send(transfer.domain, std::move(answers));
}

QuotaBeat QuotaCoordinator::beat(bool needsReply) const
{
    QuotaBeat beat;
    beat.instance = m_context.instance;
    beat.isHolder = m_context.holdsRow();
    beat.isActing = m_isActing;
    beat.needsReply = needsReply;
    for (const auto& [id, it] : m_lenders) {
        if (it.lender.reserved().amount > 0 || it.lender.level() < it.lender.capacity().depth)
            beat.entries.push_back({ id, it.lender.reserved(), it.lender.level() });
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
        if (!message.entries.empty() && now - m_predecessorHeardAt > sendInterval * 0.5)
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

std::vector<QuotaCoordinator::Lending> QuotaCoordinator::lendings() const
{
    std::vector<Lending> result;
    for (const auto& [id, it] : m_lenders) {
        const double share = it.limit.perSecond > 0 ? it.lender.capacity().amount / it.limit.perSecond : 0;
        result.push_back({ id, it.limit.perSecond, share, it.lender.reserved().amount, it.lender.demand(), it.lender.borrowers() });
    }
    return result;
}

}
