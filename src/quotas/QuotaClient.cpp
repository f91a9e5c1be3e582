#include "quotas/QuotaClient.h"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds sampleInterval { 250 };
    /// Organisations with a share are reported every half second, so that two lost reports do not end it; others every second.
    constexpr uint32_t ticksPerReport = 2;
    constexpr uint32_t ticksPerRareReport = 4;
    /// Waiting operations ask again after this time, because a datagram may be lost or a unit may be free meanwhile.
    constexpr Milliseconds askInterval { 30 };
    constexpr Milliseconds waitCheckInterval { 10 };
    /// Reports that become due within this time are sent together.
    constexpr Milliseconds confirmationDelay { 20 };
    /// A coordinator that answers nothing for this long is avoided.
    constexpr Milliseconds maxSilence { 300 };
    /// A lost holder stays listed until its row has expired. One that returns is named by those that are asked meanwhile.
    constexpr Milliseconds avoidanceAfterSilence { 5000 };
    constexpr Milliseconds avoidanceAfterRefusal { 100 };
    constexpr Milliseconds hintValidity { 2000 };
    constexpr size_t maxSentReports = 32;
    /// Beyond this, operations of one organisation are refused instead of waiting.
    constexpr size_t maxWaiters = 64;
    constexpr Milliseconds retryWithoutLimit { 1000 };
    /// Bounds the lines on refusals; metrics count them all.
    constexpr Milliseconds logInterval { 1000 };

}

QuotaClient::QuotaClient(Context context, uint64_t seed)
    : m_context(std::move(context))
    , m_random(seed)
    , m_reportNumber(static_cast<uint64_t>(m_context.loop.now().sinceEpoch()))
{
}

QuotaClient::~QuotaClient()
{
    for (const TimerId it : { m_tickTimer, m_waitTimer, m_confirmTimer })
        m_context.loop.cancel(it);
}

void QuotaClient::setOrganisations(std::shared_ptr<const OrganisationDirectory> organisations)
{
    m_organisations = std::move(organisations);
}

void QuotaClient::setHolders(const std::vector<QuotaHolder>& holders)
{
    m_holders = rankedQuotaHolders(holders, m_context.domain);
}

double QuotaClient::limitOf(const OrganisationId& id) const
{
    const Organisation* organisation = m_organisations->find(id);
    return organisation ? organisation->limit.perSecond : 0;
}

OperationAllowance& QuotaClient::allowanceOf(const OrganisationId& id)
{
    auto it = m_allowances.find(id);
    if (it == m_allowances.end())
        it = m_allowances.emplace(id, OperationAllowance(m_context.loop.now())).first;
    if (std::find(m_active.begin(), m_active.end(), &*it) == m_active.end())
        m_active.push_back(&*it);
    if (m_tickTimer == TimerId::None)
        m_tickTimer = m_context.loop.after(sampleInterval * std::uniform_real_distribution<double>(0, 1)(m_random), [this] { tick(); });
    return it->second;
}

void QuotaClient::admit(const OrganisationId& id, Decided decided)
{
    if (!m_organisations)
        return decided({ true, Milliseconds(0) });
    if (limitOf(id) <= 0)
        return decided({ false, retryWithoutLimit });
    const Instant now = m_context.loop.now();
    auto found = m_allowances.find(id);
    if (found == m_allowances.end() || found->second.isIdle()) {
        allowanceOf(id);
        found = m_allowances.find(id);
    }
    OperationAllowance& allowance = found->second;
    allowance.noteArrival(now);
    if (allowance.waiters.empty() && allowance.take(now))
        return decided({ true, Milliseconds(0) });
    if (allowance.isShort(now) || allowance.waiters.size() >= maxWaiters)
        return refuse(*found, decided);
    allowance.waiters.push_back({ std::move(decided), now });
    if (m_waitTimer == TimerId::None)
        m_waitTimer = m_context.loop.after(waitCheckInterval, [this] { checkWaiters(); });
    if (allowance.askedAt == Instant() || now - allowance.askedAt >= askInterval || allowance.waiters.size() == 1)
        askFor(*found);
}

void QuotaClient::refuse(Entry& entry, const Decided& decided)
{
    const Instant now = m_context.loop.now();
    const double limit = limitOf(entry.first);
    const Milliseconds retryAfter = entry.second.nextRetry(now, limit, m_random);
    if (now - m_loggedAt >= logInterval) {
        m_loggedAt = now;
        m_context.log.write("quota_refused", { { "organisation", entry.first.value() }, { "limit_per_s", absl::StrFormat("%g", limit) }, { "allowance_per_s", absl::StrFormat("%.3g", entry.second.share(now).amount) }, { "allowance_age_ms", absl::StrFormat("%.0f", std::min(entry.second.age(now).count(), 1e9)) } });
    }
    decided({ false, retryAfter });
}

void QuotaClient::serve(Entry& entry)
{
    const Instant now = m_context.loop.now();
    auto& waiters = entry.second.waiters;
    while (!waiters.empty() && entry.second.take(now)) {
        const Decided decided = std::move(waiters.front().decided);
        waiters.pop_front();
        decided({ true, Milliseconds(0) });
    }
}

void QuotaClient::endWaiters(Entry& entry, Instant arrivedBy)
{
    auto& waiters = entry.second.waiters;
    while (!waiters.empty() && waiters.front().since <= arrivedBy) {
        const Decided decided = std::move(waiters.front().decided);
        waiters.pop_front();
        refuse(entry, decided);
    }
}

void QuotaClient::checkWaiters()
{
    m_waitTimer = TimerId::None;
    const Instant now = m_context.loop.now();
    bool isAnyWaiting = false;
    checkSilence();
    std::vector<Entry*> asking;
    // The callbacks may add organisations.
    const std::vector<Entry*> present = m_active;
    for (Entry* it : present) {
        if (it->second.waiters.empty())
            continue;
        serve(*it);
        endWaiters(*it, now - maxWait);
        if (it->second.waiters.empty())
            continue;
        isAnyWaiting = true;
        if (now - it->second.askedAt >= askInterval)
            asking.push_back(it);
    }
    if (!asking.empty())
        report(asking);
    if (isAnyWaiting && m_waitTimer == TimerId::None)
        m_waitTimer = m_context.loop.after(waitCheckInterval, [this] { checkWaiters(); });
}

void QuotaClient::tick()
{
    m_tickTimer = TimerId::None;
    const Instant now = m_context.loop.now();
    checkSilence();
    ++m_ticks;
    std::vector<Entry*> due;
    std::vector<Entry*> active;
    for (Entry* it : m_active) {
        const bool isChanged = it->second.sample(now);
        const bool isIdle = it->second.dropIfIdle(now);
        const uint32_t interval = it->second.needsFrequentReports(now) ? ticksPerReport : ticksPerRareReport;
        if (isChanged || isIdle || m_ticks % interval == 0)
            due.push_back(it);
        if (!isIdle)
            active.push_back(it);
    }
    m_active = std::move(active);
    report(due);
    if (!m_active.empty())
        m_tickTimer = m_context.loop.after(sampleInterval, [this] { tick(); });
}

void QuotaClient::askFor(Entry& entry)
{
    report({ &entry });
}

void QuotaClient::report(const std::vector<Entry*>& entries)
{
    const Instant now = m_context.loop.now();
    QuotaReport report;
    size_t bytes = 0;
    std::vector<QuotaReport> reports;
    for (Entry* it : entries) {
        const size_t added = quotaEntryBytes(it->first);
        if (bytes + added > quotaEntriesBytes && !report.entries.empty()) {
            reports.push_back(std::move(report));
            report = {};
            bytes = 0;
        }
        bytes += added;
        if (!it->second.waiters.empty())
            it->second.askedAt = now;
        report.entries.push_back(it->second.report(it->first, m_coordinator, now));
    }
    if (!report.entries.empty())
        reports.push_back(std::move(report));
    for (auto& it : reports) {
        it.instance = m_context.instance;
        it.number = ++m_reportNumber;
        it.coordinator = m_coordinator;
        send(it);
    }
}

void QuotaClient::send(const QuotaReport& report)
{
    const QuotaHolder* to = target();
    if (!to)
        return;
    const Instant now = m_context.loop.now();
    if (m_sent.size() >= maxSentReports)
        m_sent.erase(m_sent.begin());
    SentReport sent { report.number, now, report.coordinator, {} };
    for (const auto& it : report.entries)
        sent.confirmed.emplace_back(it.organisation, it.confirmed);
    m_sent.push_back(std::move(sent));
    if (to->instance == m_context.instance)
        return handle(m_context.answerHere(report));
    if (m_unansweredSince == Instant())
        m_unansweredSince = now;
    for (const auto& it : encodeQuotaMessage(report))
        m_context.port.send(to->address, it);
}

void QuotaClient::handle(const QuotaAnswer& answer)
{
    const auto sent = std::find_if(m_sent.begin(), m_sent.end(), [&answer](const SentReport& it) { return it.number == answer.report; });
    if (sent == m_sent.end())
        return;
    const SentReport answered = std::move(*sent);
    m_sent.erase(sent);
    m_unansweredSince = {};
    const Instant now = m_context.loop.now();
    if (answer.coordinator == 0) {
        avoidTarget(avoidanceAfterRefusal);
        if (!answer.coordinatorAddress.host.empty()) {
            m_hinted = { InstanceId(answer.coordinatorAddress.host), m_context.domain, answer.coordinatorAddress };
            m_hintedUntil = now + hintValidity;
        }
        return;
    }
    m_coordinator = answer.coordinator;
    if (answer.keepsOthers)
        keepShares(answered, answer);
    for (const auto& it : answer.entries) {
        auto found = m_allowances.find(it.organisation);
        if (found == m_allowances.end() || found->second.isIdle())
            continue;
        if (found->second.apply(it, answer.coordinator, answered.sentAt, now))
            scheduleConfirmation(*found);
        serve(*found);
        if (it.isOverLimit && !found->second.waiters.empty() && !found->second.mayWait(now)) {
            found->second.refuseForAWhile(now, m_random);
            endWaiters(*found, now);
        }
    }
}

void QuotaClient::handle(const QuotaConfirmation& confirmation)
{
    const auto sent = std::find_if(m_sent.begin(), m_sent.end(), [&confirmation](const SentReport& it) { return it.number == confirmation.report; });
    if (sent == m_sent.end())
        return;
    QuotaAnswer answer;
    answer.coordinator = sent->coordinator;
    answer.report = confirmation.report;
    answer.keepsOthers = true;
    handle(answer);
}

void QuotaClient::keepShares(const SentReport& sent, const QuotaAnswer& answer)
{
    for (const auto& [id, number] : sent.confirmed) {
        const auto isListed = [&id = id](const QuotaAnswer::Entry& it) { return it.organisation == id; };
        if (number == 0 || std::any_of(answer.entries.begin(), answer.entries.end(), isListed))
            continue;
        auto found = m_allowances.find(id);
        if (found != m_allowances.end())
            found->second.keep(number, answer.coordinator, sent.sentAt, m_context.loop.now());
    }
}

// What a smaller share frees can be lent to others only when it is confirmed.
void QuotaClient::scheduleConfirmation(Entry& entry)
{
    m_toConfirm.push_back(&entry);
    if (m_confirmTimer != TimerId::None)
        return;
    m_confirmTimer = m_context.loop.after(confirmationDelay, [this] {
        m_confirmTimer = TimerId::None;
        std::sort(m_toConfirm.begin(), m_toConfirm.end());
        m_toConfirm.erase(std::unique(m_toConfirm.begin(), m_toConfirm.end()), m_toConfirm.end());
        report(std::exchange(m_toConfirm, {}));
    });
}

void QuotaClient::checkSilence()
{
    if (m_unansweredSince != Instant() && m_context.loop.now() - m_unansweredSince >= maxSilence)
        avoidTarget(avoidanceAfterSilence);
}

void QuotaClient::avoidTarget(Milliseconds time)
{
    const Instant now = m_context.loop.now();
    if (const QuotaHolder* it = target())
        m_avoidedUntil[it->instance] = now + time;
    m_hintedUntil = {};
    m_unansweredSince = {};
    m_sent.clear();
}

const QuotaHolder* QuotaClient::target()
{
    const Instant now = m_context.loop.now();
    if (now < m_hintedUntil)
        return &m_hinted;
    const QuotaHolder* first = nullptr;
    for (const auto& it : m_holders) {
        auto avoided = m_avoidedUntil.find(it.instance);
        const Instant until = avoided == m_avoidedUntil.end() ? Instant() : avoided->second;
        if (until <= now)
            return &it;
        if (!first || until < m_avoidedUntil[first->instance])
            first = &it;
    }
    return first;
}

std::vector<QuotaClient::Use> QuotaClient::uses() const
{
    const Instant now = m_context.loop.now();
    std::vector<Use> result;
    for (const auto& [id, it] : m_allowances)
        result.push_back({ id, it.admitted, it.refused, it.demand(now), it.share(now) });
    return result;
}

}
