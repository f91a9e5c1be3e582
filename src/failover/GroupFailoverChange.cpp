#include "failover/GroupFailover.h"

#include "failover/FailoverTimes.h"

#include <algorithm>

// The steps of the daemon that owns a change of primary: wait until no daemon uses the old primary, choose a candidate, and
// have the platform promote it.
namespace parsleypaddle {

namespace {

    /// If the old primary still reports itself as primary, and no eligible replica has its whole log, the owner of the change
    /// waits until plannedReleaseTimeout + catchUpTimeout after it received the current version of the record. Then it
    /// chooses the most complete replica.
    constexpr Milliseconds catchUpTimeout { 1500 };
    /// While the owner waits for leases, the time until it reads them again is this part of the time that it has waited, within
    /// these limits. Healthy daemons release a primary within milliseconds; a lease that must expire takes seconds.
    constexpr double releaseCheckFraction = 0.125;
    constexpr Milliseconds minReleaseCheckInterval { 20 };
    constexpr Milliseconds maxReleaseCheckInterval { 250 };
    constexpr Milliseconds promotionRetryInterval { 700 };
    /// A candidate is rejected if it has not become primary this long after this daemon received the record that names it, or after the
    /// platform accepted the promotion. A promotion takes about 600 ms.
    constexpr Milliseconds promotionTimeout { 3000 };
    /// The platform answers a promotion after up to one second. A call is not worth sending if it is withdrawn before that.
    constexpr Milliseconds minPromotionTime { 1200 };

}

void GroupFailover::advanceChange()
{
    if (!m_isReleasedEverywhere)
        checkRelease();
    if (m_record->phase == GroupPhase::Promoting)
        return monitorPromotion();
    if (m_context.loop.now() >= m_nextProbe)
        probeTargets();
    if (m_record->isReinstated && adoptPromotedTarget())
        return;
    if (hasPrimaryRecovered())
        return writeRecord(makeOpenRecord(m_record->primary, m_record->term), false, "the primary answers again and its term is unchanged");
    if (m_isReleasedEverywhere && m_isProbeRoundComplete)
        chooseCandidate();
}

// Whether the old primary can be used again. Since target and term stay the same, daemons need not have released it.
bool GroupFailover::hasPrimaryRecovered() const
{
    auto probe = m_probes.find(m_record->primary);
    const TargetEntry* entry = find(m_record->primary);
    // Once there is a candidate, its promotion may have been requested, so the old primary must not be used again.
    if (m_record->isPlanned || !m_record->candidate.isEmpty() || !entry || entry->isLeaving || probe == m_probes.end() || !probe->second.report)
        return false;
    if (m_record->isReinstated && !isUnreplaced())
        return false;
    return probe->second.report->isPrimary && probe->second.report->term == m_record->term;
}

void GroupFailover::checkRelease()
{
    const Instant now = m_context.loop.now();
    if (m_isReadingLeases || !m_hasReleasedPrimary || now < m_nextReleaseCheck)
        return;
    m_nextReleaseCheck = now + std::clamp((now - m_recordSince) * releaseCheckFraction, minReleaseCheckInterval, maxReleaseCheckInterval);
    m_isReadingLeases = true;
    m_context.leaseMonitor.read([this, epoch = m_epoch, version = m_version, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<LeaseTable>& table) {
        if (alive.expired())
            return;
        m_isReadingLeases = false;
        if (!table.ok() || version != m_version || !table->isReleasedByAll(epoch) || !m_context.era->isSettled(table->platformTime))
            return;
        m_isReleasedEverywhere = true;
        // Log positions reported earlier may be outdated, since statements could still write until now.
        m_isProbeRoundComplete = false;
        m_context.log.writeUnlimited("primary_released_everywhere", { { "group", m_group.value() }, { "epoch", textOf(epoch) }, { "leases", std::to_string(table->entries.size()) } });
    });
}

void GroupFailover::probeTargets()
{
    if (m_pendingProbes > 0)
        return;
    m_nextProbe = m_context.loop.now() + probeInterval;
    m_pendingProbes = m_targets.size();
    const bool isAfterRelease = m_isReleasedEverywhere || !m_record;
    for (const auto& it : m_targets) {
        const TargetId id = it.target.id;
        probeTarget(m_context.loop, m_context.connector, it.target, [this, id, isAfterRelease, alive = std::weak_ptr<bool>(m_alive)](const ProbeResult& result) {
            if (alive.expired())
                return;
            m_probes[id] = result;
            --m_pendingProbes;
            m_isProbeRoundComplete = m_pendingProbes == 0 && isAfterRelease;
        });
    }
}

std::optional<TargetId> GroupFailover::mostCompleteReplica() const
{
    std::optional<TargetId> best;
    LogMark most;
    for (const auto& it : m_targets) {
        const TargetId& id = it.target.id;
        auto probe = m_probes.find(id);
        const bool isEligible = id != m_record->primary && !it.isLeaving && m_rejectedCandidates.count(id) == 0;
        if (!isEligible || probe == m_probes.end() || !probe->second.report)
            continue;
        const LogMark received = probe->second.report->received;
        // With equal logs the recorded candidate is preferred, since its promotion may already have been requested.
        const bool isPreferred = id == m_record->candidate && !(received < most);
        if (best && !isPreferred && !(most < received))
            continue;
        best = id;
        most = received;
    }
    return best;
}

// Logs the probe results only when they have changed since the last line, not after each round.
void GroupFailover::logCandidates()
{
    std::string text;
    for (const auto& [id, probe] : m_probes) {
        text += (text.empty() ? "" : ", ") + id.value();
        if (!probe.report)
            text += probe.hasAnswered ? " overloaded" : " unreachable";
        else
            text += std::string(probe.report->isPrimary ? " primary" : " replica") + " in term " + std::to_string(probe.report->term.value()) + " received " + textOf(probe.report->received);
        if (m_rejectedCandidates.count(id) > 0)
            text += " rejected";
    }
    if (text == m_lastLoggedCandidates)
        return;
    m_lastLoggedCandidates = text;
    m_context.log.writeUnlimited("primary_candidates", { { "group", m_group.value() }, { "targets", text } });
}

// A replacement that the platform set up with the old primary's log may be primary in the same term, so an equal term is
// accepted from any target except the old primary.
bool GroupFailover::isNewPrimary(const TargetId& target, const std::optional<RoleReport>& report) const
{
    if (!report || !report->isPrimary)
        return false;
    return report->term > m_record->term || (report->term == m_record->term && target != m_record->primary);
}

void GroupFailover::chooseCandidate()
{
    m_isProbeRoundComplete = false;
    logCandidates();
    for (const auto& [id, probe] : m_probes) {
        if (isNewPrimary(id, probe.report))
            return writeRecord(makeOpenRecord(id, probe.report->term), false, "a target is already primary");
    }
    auto oldProbe = m_probes.find(m_record->primary);
    const bool isOldStillPrimary = oldProbe != m_probes.end() && oldProbe->second.report && oldProbe->second.report->isPrimary;
    const auto best = mostCompleteReplica();
    if (!best) {
        // No replica answered, or all that did are leaving or were rejected earlier. The rejected ones may be promotable by now, so
        // they are tried again after the next round of probes.
        m_rejectedCandidates.clear();
        return;
    }
    const bool isComplete = !isOldStillPrimary || !(m_probes[*best].report->received < oldProbe->second.report->received);
    if (!isComplete && m_context.loop.now() < m_recordSince + plannedReleaseTimeout + catchUpTimeout)
        return;
    GroupRecord record = *m_record;
    record.phase = GroupPhase::Promoting;
    record.candidate = *best;
    writeRecord(std::move(record), false, isComplete ? "the most complete replica; the old primary is not known to hold more log" : "the most complete replica; it lacks the end of the old primary's log");
}

void GroupFailover::monitorPromotion()
{
    const Instant now = m_context.loop.now();
    const TargetEntry* entry = find(m_record->candidate);
    const bool hasFailed = !entry || m_rejectedCandidates.count(m_record->candidate) > 0 || now > std::max(m_recordSince, m_promotionAcceptedAt) + promotionTimeout;
    // While a call is unanswered it may still arrive. After another candidate was promoted it would undo that, so it is repeated until the
    // platform answers that the candidate was promoted or does not run.
    if (hasFailed && !m_isPromotionUnanswered) {
        m_rejectedCandidates.insert(m_record->candidate);
        GroupRecord record = *m_record;
        record.phase = GroupPhase::Closing;
        return writeRecord(std::move(record), false, "the promotion was refused, or the candidate is no longer listed or did not become primary in time");
    }
    if (!m_isPromotionPending && now >= m_nextPromotionRequest && m_isReleasedEverywhere)
        requestPromotion();
    if (!entry || m_isProbing || now < m_nextProbe)
        return;
    m_isProbing = true;
    m_nextProbe = now + probeInterval;
    probeTarget(m_context.loop, m_context.connector, entry->target, [this, id = entry->target.id, version = m_version, alive = std::weak_ptr<bool>(m_alive)](const ProbeResult& result) {
        if (alive.expired())
            return;
        m_isProbing = false;
        if (version == m_version && isNewPrimary(id, result.report))
            writeRecord(makeOpenRecord(id, result.report->term), false, "the candidate is primary");
    });
}

// The record's version serves as the fencing token, because it increases with every change of the record.
void GroupFailover::requestPromotion()
{
    // Another daemon may take over the change when the lease has expired, so no call may be on its way then.
    const Instant now = m_context.loop.now();
    const Instant until = m_context.lease.rowValidUntil();
    if (now + minPromotionTime > until)
        return;
    m_isPromotionPending = true;
    m_isPromotionUnanswered = true;
    m_nextPromotionRequest = now + promotionRetryInterval;
    const uint64_t call = ++m_promotionCalls;
    m_context.log.writeUnlimited("promotion_ordered", { { "group", m_group.value() }, { "candidate", m_record->candidate.value() }, { "call", std::to_string(call) }, { "fence", std::to_string(m_version.value()) }, { "version", textOf(m_version) }, { "epoch", textOf(m_epoch) }, { "withdrawn_after_ms", std::to_string(static_cast<int64_t>((until - now).count())) } });
    m_context.promotions.promote(m_group, m_record->candidate, m_context.lease.instance(), m_version, until, [this, candidate = m_record->candidate, version = m_version, call, sentAt = now, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<bool>& accepted) {
        if (alive.expired())
            return;
        m_isPromotionPending = false;
        if (accepted.ok() && version == m_version)
            m_isPromotionUnanswered = false;
        if (accepted.ok() && *accepted)
            m_promotionAcceptedAt = m_context.loop.now();
        logPromotionAnswer(candidate, call, version, sentAt, accepted);
        if (accepted.ok() && !*accepted)
            m_rejectedCandidates.insert(candidate);
    });
}

void GroupFailover::logPromotionAnswer(const TargetId& candidate, uint64_t call, RowVersion version, Instant sentAt, const absl::StatusOr<bool>& accepted)
{
    std::string answer;
    if (accepted.ok())
        answer = *accepted ? "accepted" : "refused";
    else
        answer = std::string(accepted.status().message());
    m_context.log.writeUnlimited("promotion_answered", { { "group", m_group.value() }, { "candidate", candidate.value() }, { "call", std::to_string(call) }, { "fence", std::to_string(version.value()) }, { "after_ms", std::to_string(static_cast<int64_t>((m_context.loop.now() - sentAt).count())) }, { "still_wanted", version == m_version ? "yes" : "no" }, { "answer", answer } });
}

}
