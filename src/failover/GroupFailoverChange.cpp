#include "failover/GroupFailover.h"

#include "failover/FailoverTimes.h"
#include "failover/NameList.h"

#include <algorithm>
#include <utility>

// The steps of the daemon that owns a change of primary: wait until no daemon uses the old primary, and choose a candidate.
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
    /// The same limit while it waits for daemons to be connected again, which may take as long as their failure domain is cut off.
    constexpr Milliseconds maxReconnectionCheckInterval { 1000 };
    /// Interval of the changes for a candidate that is the only one allowed and was rejected.
    constexpr Milliseconds rejectedCandidateDelay { 500 };

}

void GroupFailover::advanceChange()
{
    if (isReleaseCheckDue())
        checkRelease();
    if (m_record->phase == GroupPhase::Promoting)
        return monitorPromotion();
    if (m_context.loop.now() >= m_nextProbe)
        probeTargets();
    if (m_record->isReinstated && adoptPromotedTarget())
        return;
    if (hasPrimaryRecovered())
        return writeRecord(makeOpenRecord(m_record->primary, m_record->term, m_record->termBegin), false, "the primary answers again and its term is unchanged");
    if (m_isReleasedEverywhere && m_isProbeRoundComplete)
        return chooseCandidate();
    // Evidence may be complete while other targets, such as the old primary, have not answered.
    if (m_isReleasedEverywhere && std::exchange(m_isProbeNew, false) && requiredReplicas() > 0 && !m_record->isReinstated)
        promoteCompleteReplica();
}

// Whether the old primary can be used again. Since target and term stay the same, daemons need not have released it.
bool GroupFailover::hasPrimaryRecovered() const
{
    auto probe = m_probes.find(m_record->primary);
    const TargetEntry* entry = find(m_record->primary);
    // Once there is a candidate, its promotion may have been requested, so the old primary must not be used again.
    if (m_record->isPlanned || !m_record->candidate.isEmpty() || !entry || entry->isLeaving || probe == m_probes.end() || !probe->second.report)
        return false;
    if (isAwaitingOtherPromotion(m_record->primary) || (m_record->isReinstated && !isUnreplaced()))
        return false;
    if (requiredReplicas() > 0 && !isWholeLog(probe->second.report->received, knownLogs()))
        return false;
    return probe->second.report->isPrimary && probe->second.report->term == m_record->term;
}

void GroupFailover::checkRelease()
{
    const Instant now = m_context.loop.now();
    if (m_isReadingLeases || !m_hasReleasedPrimary || now < m_nextReleaseCheck)
        return;
    const Milliseconds maxInterval = m_isReleasedEverywhere ? maxReconnectionCheckInterval : maxReleaseCheckInterval;
    m_nextReleaseCheck = now + std::clamp((now - m_recordSince) * releaseCheckFraction, minReleaseCheckInterval, maxInterval);
    m_isReadingLeases = true;
    m_context.leaseMonitor.read([this, epoch = m_epoch, version = m_version, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<LeaseTable>& table) {
        if (alive.expired())
            return;
        m_isReadingLeases = false;
        if (!table.ok() || version != m_version || !table->isReleasedByAll(epoch) || !m_context.era->isSettled(table->platformTime))
            return;
        applyRelease(*table, epoch);
    });
}

// While the list may lack a target, the leases are read again, until the daemons that may have used it are connected.
bool GroupFailover::isReleaseCheckDue() const
{
    return !m_isReleasedEverywhere || (requiredReplicas() > 0 && !m_disconnectedUsers.empty() && m_record->phase == GroupPhase::Closing);
}

void GroupFailover::applyRelease(const LeaseTable& table, RowVersion epoch)
{
    auto disconnected = findDisconnectedUsers(table, { epoch, m_record->beganAt, primaryDomain() });
    const bool isListWhole = disconnected.empty() && !m_disconnectedUsers.empty();
    m_disconnectedUsers = std::move(disconnected);
    const bool isFirst = !std::exchange(m_isReleasedEverywhere, true);
    if (!isFirst && !isListWhole)
        return;
    // Log positions reported earlier may be outdated, since statements could still write until now, and targets may have been listed since.
    abandonProbeRound();
    m_nextProbe = m_context.loop.now();
    if (isFirst)
        m_context.log.writeUnlimited("primary_released_everywhere", { { "group", m_group.value() }, { "epoch", textOf(epoch) }, { "leases", std::to_string(table.entries.size()) }, { "disconnected", textOf(m_disconnectedUsers) } });
}

FailureDomainId GroupFailover::primaryDomain() const
{
    if (const TargetEntry* entry = find(m_record->primary))
        return entry->target.failureDomain;
    const auto known = m_knownTargets.find(m_record->primary);
    return known == m_knownTargets.end() ? FailureDomainId() : known->second.failureDomain;
}

void GroupFailover::probeTargets(ProbedTargets probed)
{
    if (m_pendingProbes > 0)
        return;
    m_nextProbe = m_context.loop.now() + probeInterval;
    std::vector<TargetConfiguration> targets;
    for (const auto& it : m_targets)
        targets.push_back(it.target);
    if (probed == ProbedTargets::All) {
        for (const auto& it : logHolders()) {
            if (!find(it.id))
                targets.push_back(it);
        }
        if (const auto primary = unlistedPrimary())
            targets.push_back(*primary);
    }
    m_pendingProbes = targets.size();
    ++m_probeRound;
    const bool isAfterRelease = m_isReleasedEverywhere || !m_record;
    for (const auto& it : targets) {
        const TargetId id = it.id;
        probeTarget(m_context.loop, m_context.connector, it, [this, id, isAfterRelease, round = m_probeRound, alive = std::weak_ptr<bool>(m_alive)](const ProbeResult& result) {
            if (alive.expired() || round != m_probeRound)
                return;
            m_probes[id] = result;
            --m_pendingProbes;
            m_isProbeRoundComplete = m_pendingProbes == 0 && isAfterRelease;
            m_isProbeNew = m_isProbeNew || isAfterRelease;
        });
    }
}

// The log of a primary that was cut off is known as soon as it is reached again, which may be before its entry is back.
std::optional<TargetConfiguration> GroupFailover::unlistedPrimary() const
{
    if (!m_record || requiredReplicas() == 0 || find(m_record->primary))
        return std::nullopt;
    const auto known = m_knownTargets.find(m_record->primary);
    return known == m_knownTargets.end() ? std::nullopt : std::make_optional(configurationOf(known->first, known->second));
}

TargetConfiguration GroupFailover::configurationOf(const TargetId& id, const KnownTarget& known) const
{
    return { id, known.address, known.failureDomain, m_group, false };
}

void GroupFailover::abandonProbeRound()
{
    ++m_probeRound;
    m_pendingProbes = 0;
    m_probes.clear();
    m_isProbeRoundComplete = false;
    m_isProbeNew = false;
}

std::optional<TargetId> GroupFailover::mostCompleteReplica() const
{
    std::optional<TargetId> best;
    LogMark most;
    for (const auto& it : m_targets) {
        const TargetId& id = it.target.id;
        auto probe = m_probes.find(id);
        const bool isEligible = id != m_record->primary && !it.isLeaving && m_rejectedCandidates.count(id) == 0 && !isAwaitingOtherPromotion(id);
        if (!isEligible || probe == m_probes.end() || !probe->second.report)
            continue;
        const LogMark received = probe->second.report->received;
        // Its promotion would bring back commits that were rolled back.
        if (m_record->history.hasLeftBranch(received))
            continue;
        // With equal logs the recorded candidate is preferred, since its promotion may already have been requested.
        const bool isPreferred = id == m_record->candidate && !(received < most);
        if (best && !isPreferred && !(most < received))
            continue;
        best = id;
        most = received;
    }
    return best;
}

// While only the target of an unanswered call may be promoted, it may be less complete than another replica: its process may have been
// started again without its log.
bool GroupFailover::isMissingLog(const TargetId& candidate) const
{
    const LogMark received = m_probes.at(candidate).report->received;
    return mayUnansweredPromotionAct() && std::any_of(m_probes.begin(), m_probes.end(), [this, received](const auto& it) {
        const TargetEntry* entry = find(it.first);
        return it.first != m_record->primary && entry && !entry->isLeaving && it.second.report && received < m_record->history.keptPart(it.second.report->received);
    });
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
            text += std::string(probe.report->isPrimary ? " primary" : " replica") + " in term " + std::to_string(probe.report->term.value()) + " received " + textOf(probe.report->received) + (m_record->history.hasLeftBranch(probe.report->received) ? ", rolled back from " + textOf(m_record->history.keptPart(probe.report->received)) : "");
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
        if (find(id) && isNewPrimary(id, probe.report) && !isAwaitingOtherPromotion(id))
            return writeRecord(makeOpenRecord(id, probe.report->term, probe.report->received), false, "a target is already primary");
    }
    // Only the configuration shows whether a promotion needs evidence.
    if (!m_synchronousReplicas)
        return;
    if (requiredReplicas() > 0)
        return chooseCompleteCandidate();
    auto oldProbe = m_probes.find(m_record->primary);
    const bool isOldStillPrimary = oldProbe != m_probes.end() && oldProbe->second.report && oldProbe->second.report->isPrimary;
    const auto best = mostCompleteReplica();
    if (const auto decided = decidedCandidate(); decided && !best)
        return promote(*decided, std::nullopt, "an operator has decided to promote it, although it may lack acknowledged commits");
    if (!best || isMissingLog(*best))
        return awaitCandidates();
    const bool isComplete = !isOldStillPrimary || !(m_probes[*best].report->received < oldProbe->second.report->received);
    if (!isComplete && m_context.loop.now() < m_recordSince + plannedReleaseTimeout + catchUpTimeout)
        return;
    promote(*best, std::nullopt, isComplete ? "the most complete replica; the old primary is not known to hold more log" : "the most complete replica; it lacks the end of the old primary's log");
}

void GroupFailover::promote(const TargetId& candidate, const std::optional<LogMark>& required, std::string_view why)
{
    GroupRecord record = *m_record;
    record.phase = GroupPhase::Promoting;
    record.candidate = candidate;
    record.lastMark = required;
    writeRecord(std::move(record), false, why);
}

// No replica answered, or all that did are leaving, were rejected earlier, or may not be promoted before an unanswered call for another
// one is settled. The rejected ones may be promotable by now, so they are tried again after the next round of probes.
void GroupFailover::awaitCandidates()
{
    if (!mayUnansweredPromotionAct())
        return m_rejectedCandidates.clear();
    if (m_context.loop.now() >= m_recordSince + rejectedCandidateDelay)
        m_rejectedCandidates.clear();
    if (std::exchange(m_isAwaitingCandidatesLogged, true))
        return;
    m_context.log.writeUnlimited("promotion_awaited", { { "group", m_group.value() }, { "unanswered_candidate", m_record->unansweredCandidate.value() }, { "until", std::to_string(static_cast<int64_t>(m_record->unansweredUntil.sinceEpoch())) }, { "version", textOf(m_version) } });
}

}
