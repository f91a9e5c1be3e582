#include "failover/GroupFailover.h"

#include "failover/FailoverTimes.h"
#include "failover/NameList.h"
#include "leases/Epoch.h"
#include "leases/PlatformEraRow.h"

#include <algorithm>
#include <cmath>
#include <utility>

// How the owner of a change finds out whether a candidate has every acknowledged commit, where commits wait for replicas, and how holders keep
// the row of the targets whose logs count. See docs/design/on-the-platform.md.
namespace parsleypaddle {

namespace {

    /// If no replica becomes complete within this time after the release of a primary that is leaving, that primary is used again.
    constexpr Milliseconds catchUpTimeout { 2000 };
    /// Interval of the checks for a replica that is close to a leaving primary, for the first holder in rank. Others check less often.
    constexpr Milliseconds closeReplicaInterval { 100 };
    /// The same of the checks of targets that may have ended.
    constexpr Milliseconds endedTargetInterval { 500 };
    constexpr uint32_t maxEndedTargetDoublings = 5;
    /// The rows of hundreds of groups, of which all are new when a fleet starts, are written within this time.
    constexpr Milliseconds maxFirstRowStagger { 1000 };
    /// Delay before this daemon writes the row of known targets again, until it receives what it has written.
    constexpr Milliseconds knownTargetsRetryDelay { 1000 };
    /// While the owner waits for logs, the time until it probes the targets again is this part of the time that it has waited, within limits.
    constexpr double awaitedProbeFraction = 0.125;
    constexpr Milliseconds maxAwaitedProbeInterval { 500 };

    Milliseconds firstRowStagger(const GroupId& group)
    {
        constexpr size_t steps = 50;
        return maxFirstRowStagger * (static_cast<double>(std::hash<std::string>()(group.value()) % steps) / steps);
    }

}

// A change keeps what was configured when it began, since commits were acknowledged under that.
uint32_t GroupFailover::requiredReplicas() const
{
    const uint32_t ofChange = m_record && m_record->phase != GroupPhase::Open ? m_record->synchronousReplicas : 0;
    return std::max(m_synchronousReplicas.value_or(0), ofChange);
}

void GroupFailover::setKnownTargets(const StoredRow* row)
{
    if (!row || row->version == m_knownTargetsVersion)
        return;
    auto targets = decodeKnownTargets(row->value);
    if (!targets.ok()) {
        m_context.log.write("known_targets_malformed", { { "group", m_group.value() }, { "fault", std::string(targets.status().message()) } });
        return;
    }
    // After the platform's return from a copy the row may lack targets that were added later.
    if (row->version.era() != m_knownTargetsVersion.era())
        targets->insert(m_knownTargets.begin(), m_knownTargets.end());
    m_knownTargets = *std::move(targets);
    for (auto it = m_departedTargets.begin(); it != m_departedTargets.end();)
        it = m_knownTargets.count(*it) == 0 ? m_departedTargets.erase(it) : std::next(it);
    m_logCheck.removable.clear();
    m_nextKnownTargetsWrite = Instant();
    m_knownTargetsVersion = row->version;
}

void GroupFailover::setDecision(const StoredRow* row)
{
    if (!row) {
        m_decision.reset();
        m_decisionVersion = RowVersion();
        return;
    }
    if (row->version == m_decisionVersion)
        return;
    m_decisionVersion = row->version;
    m_decision.reset();
    const auto decision = decodePromotionDecision(row->value);
    if (decision.ok())
        m_decision = *decision;
    m_context.log.writeUnlimited("promotion_decision", { { "group", m_group.value() }, { "row", row->value }, { "fault", decision.ok() ? "" : std::string(decision.status().message()) } });
}

std::vector<TargetConfiguration> GroupFailover::logHolders() const
{
    std::vector<TargetConfiguration> holders;
    if (!m_record || requiredReplicas() == 0)
        return holders;
    for (const auto& it : m_targets) {
        if (it.target.id != m_record->primary && !successorOf(it.target.id))
            holders.push_back(it.target);
    }
    for (const auto& [id, target] : m_knownTargets) {
        if (id != m_record->primary && !find(id) && !successorOf(id))
            holders.push_back(configurationOf(id, target));
    }
    return holders;
}

bool GroupFailover::hasRestarted(const TargetId& target) const
{
    const auto known = m_knownTargets.find(target);
    if (known == m_knownTargets.end())
        return false;
    const TargetEntry* entry = find(target);
    return known->second.hasRestarted || (entry && known->second.startedAt && entry->startedAt && *known->second.startedAt != *entry->startedAt);
}

std::optional<TargetId> GroupFailover::successorOf(const TargetId& target) const
{
    const TargetEntry* entry = find(target);
    const auto known = m_knownTargets.find(target);
    const bool isKnown = known != m_knownTargets.end();
    if (!isUnlisted(target) || !((entry && entry->isLeaving) || (isKnown && known->second.isLeaving)))
        return std::nullopt;
    const TargetAddress& address = entry ? entry->target.address : known->second.address;
    const auto it = std::find_if(m_targets.begin(), m_targets.end(), [&](const TargetEntry& other) { return other.isListed && other.target.id != target && other.target.address == address; });
    return it == m_targets.end() ? std::nullopt : std::make_optional(it->target.id);
}

// The target before it may have lost its log.
bool GroupFailover::isSuccessor(const TargetId& target) const
{
    return std::any_of(m_knownTargets.begin(), m_knownTargets.end(), [&](const auto& it) { return successorOf(it.first) == target; });
}

KnownLogs GroupFailover::knownLogs() const
{
    KnownLogs logs;
    logs.synchronousReplicas = requiredReplicas();
    logs.termBegin = m_record->termBegin;
    for (const auto& it : logHolders()) {
        const auto probe = m_probes.find(it.id);
        const bool isKnown = probe != m_probes.end() && probe->second.report;
        logs.others.push_back({ it.id, isKnown ? std::make_optional(m_record->history.keptPart(probe->second.report->received)) : std::nullopt, hasRestarted(it.id) || isSuccessor(it.id) });
    }
    const auto primary = m_probes.find(successorOf(m_record->primary).value_or(m_record->primary));
    const bool hasAnswered = primary != m_probes.end() && primary->second.report && isWholeLog(primary->second.report->received, logs);
    logs.areOthersUnknown = !m_disconnectedUsers.empty();
    logs.oldPrimary = hasAnswered ? std::make_optional(primary->second.report->received) : m_record->lastMark;
    return logs;
}

bool GroupFailover::promoteCompleteReplica()
{
    const bool isOneLeading = std::any_of(m_probes.begin(), m_probes.end(), [this](const auto& it) { return isNewPrimary(it.first, it.second.report); });
    const LogEvidence evidence = LogEvidence::evaluate(knownLogs());
    const auto candidate = completeReplica(evidence);
    if (isOneLeading || !candidate)
        return false;
    promote(*candidate, evidence.required(), "the replica has every acknowledged commit: it reaches " + textOf(*evidence.required()));
    return true;
}

void GroupFailover::chooseCompleteCandidate()
{
    if (promoteCompleteReplica())
        return;
    const KnownLogs logs = knownLogs();
    const LogEvidence evidence = LogEvidence::evaluate(logs);
    if (const auto candidate = decidedCandidate())
        return promote(*candidate, std::nullopt, "an operator has decided to promote it, although it may lack acknowledged commits");
    if (mayResumePrimary())
        return writeRecord(makeOpenRecord(m_record->primary, m_record->term, m_record->termBegin), false, "no replica has received the whole log of the leaving primary in time, so that it is used again");
    awaitLogs(logs, evidence);
    // Kept for the case that the old primary, or this daemon, ends before a replica is complete.
    if (!logs.oldPrimary || m_record->lastMark == logs.oldPrimary)
        return awaitCandidates();
    GroupRecord record = *m_record;
    record.lastMark = logs.oldPrimary;
    writeRecord(std::move(record), false, "the end of the old primary's log is known, and no replica has received it yet");
}

// A replica that is leaving is promoted only if no other one is complete. Those that stay can then catch up from it. While they can do so from the
// old primary, it takes the place of that one only when that one may not be used any more, and for as long as it may be used itself. Otherwise two
// targets that leave would replace each other again and again.
std::optional<TargetId> GroupFailover::completeReplica(const LogEvidence& evidence) const
{
    const LeavingTargetUse use = leavingTargetUse();
    const TargetEntry* old = find(m_record->primary);
    const bool isOldUsable = old && use.isUsable(*old);
    const bool isOldAnswering = isPrimaryAnswering();
    const TargetEntry* best = nullptr;
    for (const auto& it : m_targets) {
        const TargetId& id = it.target.id;
        const auto probe = m_probes.find(id);
        const bool isEligible = id != m_record->primary && m_rejectedCandidates.count(id) == 0 && !isAwaitingOtherPromotion(id);
        if (!isEligible || probe == m_probes.end() || !probe->second.report || !evidence.covers(probe->second.report->received))
            continue;
        if (m_record->history.hasLeftBranch(probe->second.report->received))
            continue;
        // The promotion of the recorded candidate may already have been requested.
        if (id == m_record->candidate)
            return id;
        if (it.isLeaving && isOldAnswering && (isOldUsable || !use.isWorthPromoting(it)))
            continue;
        if (!best || use.usableUntil(*best) < use.usableUntil(it))
            best = &it;
    }
    return best ? std::make_optional(best->target.id) : std::nullopt;
}

std::optional<TargetId> GroupFailover::decidedCandidate() const
{
    if (!m_decision || m_decision->term != m_record->term || m_decision->target == m_record->primary || !find(m_decision->target) || isAwaitingOtherPromotion(m_decision->target))
        return std::nullopt;
    const auto probe = m_probes.find(m_decision->target);
    const bool isEligible = probe != m_probes.end() && probe->second.report && m_rejectedCandidates.count(m_decision->target) == 0;
    return isEligible ? std::make_optional(m_decision->target) : std::nullopt;
}

// hasPrimaryRecovered() leaves out primaries that are leaving, and planned changes.
bool GroupFailover::mayResumePrimary() const
{
    const Instant now = m_context.loop.now();
    const TargetEntry* entry = find(m_record->primary);
    const auto probe = m_probes.find(m_record->primary);
    if (!entry || !m_record->candidate.isEmpty() || m_record->isReinstated || probe == m_probes.end() || !probe->second.report || now < m_recordSince + plannedReleaseTimeout + catchUpTimeout)
        return false;
    return leavingTargetUse().isUsable(*entry) && isPrimaryAnswering() && isWholeLog(probe->second.report->received, knownLogs()) && !isAwaitingOtherPromotion(m_record->primary);
}

void GroupFailover::awaitLogs(const KnownLogs& logs, const LogEvidence& evidence)
{
    const Instant now = m_context.loop.now();
    if (!m_awaitingLogsSince)
        m_awaitingLogsSince = now;
    const Milliseconds waited = now - *m_awaitingLogsSince;
    m_nextProbe = now + std::clamp(waited * awaitedProbeFraction, probeInterval, maxAwaitedProbeInterval);
    std::string known;
    for (const auto& it : logs.others) {
        if (it.received)
            known += (known.empty() ? "" : ", ") + it.target.value() + " " + textOf(*it.received) + (it.hasRestarted ? " restarted" : "");
    }
    const std::string required = evidence.required() ? textOf(*evidence.required()) : "";
    const std::string disconnected = logs.oldPrimary ? "" : textOf(m_disconnectedUsers);
    std::string text = textOf(evidence.missing()) + "|" + required + "|" + known + "|" + disconnected;
    if (text == m_lastLoggedLogs)
        return;
    m_lastLoggedLogs = std::move(text);
    m_context.log.writeUnlimited("promotion_awaits_logs", { { "group", m_group.value() }, { "term", std::to_string(m_record->term.value()) }, { "missing", textOf(evidence.missing()) }, { "required", required }, { "known", known }, { "disconnected", disconnected }, { "waited_ms", std::to_string(static_cast<int64_t>(waited.count())) } });
}

bool GroupFailover::awaitsCloseReplica(const TargetEntry& primary) const
{
    // Without the platform's time it is not known how much of the primary's time is left.
    const bool mayBeUsable = !m_context.lease.platformTime() || leavingTargetUse().isUsable(primary);
    return requiredReplicas() > 0 && mayBeUsable && !isReplicaClose();
}

bool GroupFailover::isPrimaryAnswering() const
{
    const auto probe = m_probes.find(m_record->primary);
    return probe != m_probes.end() && probe->second.report && probe->second.report->isPrimary && probe->second.report->term == m_record->term;
}

LeavingTargetUse GroupFailover::leavingTargetUse() const
{
    return { m_knownTargets, m_context.lease, m_context.loop.now(), m_leavingPrimaryUse };
}

bool GroupFailover::isReplicaClose() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [this](const TargetEntry& it) { return !it.isLeaving && hasReceivedCheckedMark(it.target.id); });
}

// What a replica has is compared with what the primary had in the round before: commits go on between the probes of one round.
bool GroupFailover::hasReceivedCheckedMark(const TargetId& target) const
{
    const auto probe = m_probes.find(target);
    const bool isReplica = target != m_record->primary && probe != m_probes.end() && probe->second.report;
    return isReplica && m_logCheck.primaryMark && !(probe->second.report->received < *m_logCheck.primaryMark);
}

void GroupFailover::maintainKnownTargets()
{
    if (m_record->phase == GroupPhase::Open)
        checkLogs();
    const LeavingTargetUse use = leavingTargetUse();
    KnownTargets targets = m_knownTargets;
    for (const auto& it : m_logCheck.removable)
        targets.erase(it);
    for (const auto& it : m_targets) {
        if (!it.isListed)
            continue;
        KnownTarget& known = targets.try_emplace(it.target.id, KnownTarget { it.target.address, false, it.startedAt, false, std::nullopt, it.target.failureDomain }).first->second;
        known.address = it.target.address;
        known.failureDomain = it.target.failureDomain;
        known.isLeaving = it.isLeaving;
        known.leavingSince = use.leavingSinceInRow(it, known);
        // Until the log check shows that nothing of the earlier process is needed, the row says when that one was started. The log of a primary
        // in use is whole.
        if (!known.startedAt || it.target.id == m_record->primary) {
            known.startedAt = it.startedAt;
            known.hasRestarted = false;
        }
        known.hasRestarted = known.hasRestarted || (it.startedAt && it.startedAt != known.startedAt);
    }
    if (targets == m_knownTargets) {
        m_knownTargetsOutdatedSince.reset();
        return;
    }
    const Instant now = m_context.loop.now();
    m_knownTargetsOutdatedSince = m_knownTargetsOutdatedSince.value_or(now);
    const Instant due = *m_knownTargetsOutdatedSince + staggerPerRank * m_context.leaseMonitor.rankFor(m_group) + (m_knownTargets.empty() ? firstRowStagger(m_group) : Milliseconds(0));
    if (!m_isWritingKnownTargets && now >= std::max(due, m_nextKnownTargetsWrite))
        writeKnownTargets(targets);
}

void GroupFailover::checkLogs()
{
    if (m_logCheck.isUnderWay && m_pendingProbes == 0)
        evaluateLogCheck();
    const TargetEntry* primary = find(m_record->primary);
    const bool isPrimaryLeaving = primary && primary->isLeaving;
    const bool isOneDoubtful = std::any_of(m_knownTargets.begin(), m_knownTargets.end(), [this](const auto& it) { return it.first != m_record->primary && (isUnlisted(it.first) || hasRestarted(it.first)); });
    if (!isPrimaryLeaving && !isOneDoubtful) {
        m_logCheck = {};
        return;
    }
    const Instant now = m_context.loop.now();
    if (m_logCheck.isUnderWay || m_pendingProbes > 0 || now < m_logCheck.next)
        return;
    // A target that is silent for long is asked less and less often.
    const Milliseconds interval = isPrimaryLeaving ? closeReplicaInterval : endedTargetInterval * std::exp2(std::min(m_logCheck.rounds, maxEndedTargetDoublings));
    m_logCheck.next = now + interval * (1 + m_context.leaseMonitor.rankFor(m_group));
    ++m_logCheck.rounds;
    m_logCheck.isUnderWay = true;
    // What a target that is not asked in this round said in an earlier one shows nothing any more.
    m_probes.clear();
    probeTargets(isPrimaryLeaving ? ProbedTargets::Listed : ProbedTargets::All);
}

void GroupFailover::evaluateLogCheck()
{
    m_logCheck.isUnderWay = false;
    const auto caughtUp = static_cast<size_t>(std::count_if(m_targets.begin(), m_targets.end(), [this](const TargetEntry& it) { return hasReceivedCheckedMark(it.target.id); }));
    // What the primary had in the last round includes all that a target had which had ended in the round before it. An acknowledged commit that
    // the target had is then in as many others as commits wait for.
    constexpr uint32_t minRounds = 3;
    const bool isCovered = caughtUp >= std::max(1U, requiredReplicas());
    std::map<TargetId, uint32_t> ended;
    m_logCheck.removable.clear();
    for (const auto& [id, target] : m_knownTargets) {
        if (id == m_record->primary || !hasEnded(id))
            continue;
        const uint32_t rounds = ended[id] = m_logCheck.ended[id] + 1;
        if (isCovered && rounds >= minRounds)
            m_logCheck.removable.insert(id);
    }
    m_logCheck.ended = std::move(ended);
    const auto primary = m_probes.find(m_record->primary);
    const bool isInUse = primary != m_probes.end() && primary->second.report && primary->second.report->isPrimary && primary->second.report->term == m_record->term;
    m_logCheck.primaryMark = isInUse ? std::make_optional(primary->second.report->received) : std::nullopt;
}

bool GroupFailover::isUnlisted(const TargetId& target) const
{
    const TargetEntry* entry = find(target);
    return !entry || !entry->isListed;
}

// Silence does not show that a target has ended: it may be cut off from this daemon and the platform, and still receive from the primary.
bool GroupFailover::hasEnded(const TargetId& target) const
{
    if (!isUnlisted(target))
        return hasRestarted(target);
    const TargetAddress& address = m_knownTargets.at(target).address;
    const bool hasSuccessor = std::any_of(m_targets.begin(), m_targets.end(), [&](const TargetEntry& it) { return it.isListed && it.target.id != target && it.target.address == address; });
    const auto probe = m_probes.find(target);
    if (hasSuccessor || probe == m_probes.end())
        return hasSuccessor;
    return probe->second.failedAtOnce || (!probe->second.hasAnswered && m_departedTargets.count(target) > 0);
}

void GroupFailover::writeKnownTargets(const KnownTargets& targets)
{
    const PlatformEra era = m_context.era->era;
    RowsTransaction transaction;
    transaction.expected.push_back({ controlTable, knownTargetsKey(m_group), m_knownTargetsVersion.era() == era ? m_knownTargetsVersion : RowVersion(era, 0) });
    transaction.expected.push_back({ controlTable, groupKey(m_group), m_rowVersion });
    transaction.expected.push_back(eraFence(era));
    transaction.writes.push_back({ controlTable, knownTargetsKey(m_group), encodeKnownTargets(targets) });
    logKnownTargets(targets);
    m_isWritingKnownTargets = true;
    m_nextKnownTargetsWrite = m_context.loop.now() + knownTargetsRetryDelay;
    m_context.platform.transact(transaction, [this, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<TransactionAnswer>&) {
        if (!alive.expired())
            m_isWritingKnownTargets = false;
    });
}

void GroupFailover::logKnownTargets(const KnownTargets& targets)
{
    std::vector<TargetId> added;
    std::vector<TargetId> removed;
    for (const auto& [id, target] : targets) {
        if (m_knownTargets.count(id) == 0)
            added.push_back(id);
    }
    for (const auto& [id, target] : m_knownTargets) {
        if (targets.count(id) == 0)
            removed.push_back(id);
    }
    m_context.log.writeUnlimited("known_targets_changed", { { "group", m_group.value() }, { "added", textOf(added) }, { "removed", textOf(removed) }, { "unlisted", std::to_string(unlistedLogHolders()) }, { "primary_had", m_logCheck.primaryMark ? textOf(*m_logCheck.primaryMark) : "" } });
}

size_t GroupFailover::unlistedLogHolders() const
{
    return static_cast<size_t>(std::count_if(m_knownTargets.begin(), m_knownTargets.end(), [this](const auto& it) { return isUnlisted(it.first); }));
}

}
