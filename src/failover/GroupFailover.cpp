#include "failover/GroupFailover.h"

#include "failover/FailoverTimes.h"
#include "leases/Epoch.h"
#include "leases/PlatformEraRow.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleypaddle {

namespace {

    /// Delay per rank before a daemon creates a group's record. When a fleet starts, the platform records the first primaries of hundreds
    /// of groups one after the other, which takes longer than staggerPerRank.
    constexpr Milliseconds bootstrapStaggerPerRank { 400 };
    /// Interval at which the targets of a group without a record are probed, doubled with each round up to the maximum, and the delay after this daemon has written one, until it
    /// receives it.
    constexpr Milliseconds bootstrapProbeInterval { 250 };
    constexpr Milliseconds maxBootstrapProbeInterval { 1000 };
    constexpr Milliseconds bootstrapRetryDelay { 1000 };
    /// When the record of a change in progress has stayed the same for this long, plus the delay for a daemon's rank, that daemon
    /// checks the lease of the owner.
    constexpr Milliseconds ownerCheckDelay { 1500 };
    constexpr Milliseconds ownerCheckInterval { 500 };

}

GroupFailover::GroupFailover(FailoverContext context, GroupId group)
    : m_context(context)
    , m_group(std::move(group))
{
}

void GroupFailover::setRecord(const GroupRecord& record, RowVersion version, RowVersion epoch)
{
    m_epoch = epoch;
    if (m_record && version <= m_version)
        return;
    const Instant now = m_context.loop.now();
    const bool wasOpen = !m_record || m_record->phase == GroupPhase::Open;
    // FailoverManager writes one line for all first records: a daemon that starts reads those of hundreds of groups at once.
    if (m_record || record.phase != GroupPhase::Open)
        m_context.log.writeUnlimited("primary_record", { { "group", m_group.value() }, { "phase", std::to_string(static_cast<int>(record.phase)) }, { "primary", record.primary.value() }, { "term", std::to_string(record.term.value()) }, { "candidate", record.candidate.value() }, { "owner", record.owner.value() }, { "reinstated", record.isReinstated ? "yes" : "no" }, { "version", textOf(version) } });
    if (!m_isWriting)
        endFirstRecord();
    if (record.isReinstated)
        keepEarlierRecord();
    // The record between two changes may be missed, so a release that this daemon has seen counts only while the owner is the same.
    const bool isOwnerNew = !m_record || m_record->owner != record.owner || m_record->ownerIncarnation != record.ownerIncarnation;
    m_isReleasedEverywhere = m_isReleasedEverywhere && !isOwnerNew;
    if (!m_isReleasedEverywhere)
        m_disconnectedUsers.clear();
    m_logCheck = {};
    m_record = record;
    m_version = version;
    m_calls.reset();
    m_isRecordUncertain = false;
    m_candidateLeadsSince.reset();
    m_isCandidateUnreachable = false;
    m_hasCandidateLostLog = false;
    m_isAwaitingCandidatesLogged = false;
    m_rowVersion = version;
    m_recordSince = now;
    if (record.phase == GroupPhase::Open || isOwnerNew) {
        m_awaitingLogsSince.reset();
        m_lastLoggedLogs.clear();
    }
    if (!record.isReinstated)
        m_earlierRecord.reset();
    if (record.phase == GroupPhase::Open) {
        m_hasReleasedPrimary = true;
        m_consecutiveFailedProbes = 0;
        m_isProbeRequested = false;
        m_isSuspicionWritten = false;
        m_nextLeaseRead = Instant();
        m_missingSince.reset();
        m_leavingSince.reset();
        m_rejectedCandidates.clear();
        return;
    }
    if (wasOpen) {
        m_hasReleasedPrimary = false;
        m_releaseDeadline = now + (record.isPlanned ? plannedReleaseTimeout : Milliseconds(0));
        m_isReleasedEverywhere = false;
        m_disconnectedUsers.clear();
    }
    abandonProbeRound();
    m_nextPromotionRequest = now;
    m_nextReleaseCheck = now;
    m_nextProbe = now;
    m_nextOwnerCheck = now + ownerCheckDelay + staggerPerRank * m_context.leaseMonitor.rankFor(m_group);
}

void GroupFailover::setSuspicions(std::set<InstanceId> suspicions)
{
    m_suspicions = std::move(suspicions);
    m_isSuspicionWritten = m_suspicions.count(m_context.lease.instance()) > 0;
    // A recorded suspicion makes only the voters probe the primary. Otherwise every daemon of a large fleet would probe a
    // primary that is merely slow.
    if (!m_suspicions.empty() && isVoter())
        m_isProbeRequested = true;
}

void GroupFailover::setTargets(std::vector<TargetEntry> targets)
{
    for (const auto& it : targets) {
        if (it.hasLeft && requiredReplicas() > 0)
            m_departedTargets.insert(it.target.id);
        else if (it.isListed)
            m_departedTargets.erase(it.target.id);
    }
    m_targets = std::move(targets);
    m_areTargetsKnown = true;
}

void GroupFailover::primaryAnswered()
{
    m_lastAnswerAt = m_context.loop.now();
    if (m_consecutiveFailedProbes == 0)
        m_isProbeRequested = m_isProbeRequested && !m_suspicions.empty();
}

bool GroupFailover::needsFrequentTicks() const
{
    if (!m_hasReleasedPrimary)
        return true;
    // Only holders write a group's first record in an era.
    if (!hasPresentRecord())
        return m_context.lease.holdsRow();
    return m_record->phase != GroupPhase::Open || m_isProbeRequested || m_leavingSince || m_missingSince || m_logCheck.isUnderWay;
}

PrimaryView GroupFailover::knownPrimary() const
{
    if (!m_record)
        return m_earlierRecord ? PrimaryView { m_earlierRecord->primary, m_earlierRecord->term, false } : PrimaryView {};
    return { m_record->primary, m_record->term, m_record->phase == GroupPhase::Open };
}

bool GroupFailover::mayOwnChange() const
{
    return m_isWriting || (m_record && m_record->phase != GroupPhase::Open && isChangeOwner());
}

bool GroupFailover::isChangeOwner() const
{
    return m_record->owner == m_context.lease.instance() && m_record->ownerIncarnation == m_context.lease.incarnation();
}

const TargetEntry* GroupFailover::find(const TargetId& target) const
{
    auto it = std::find_if(m_targets.begin(), m_targets.end(), [&target](const TargetEntry& entry) { return entry.target.id == target; });
    return it == m_targets.end() ? nullptr : &*it;
}

void GroupFailover::tick(RelayGroup& group)
{
    m_leavingPrimaryUse = group.leavingPrimaryUse();
    const TargetEntry* primary = m_record ? find(m_record->primary) : nullptr;
    group.setPrimaryLeavingSince(primary ? leavingTargetUse().leavingSince(*primary) : std::nullopt);
    if (!m_hasReleasedPrimary)
        releasePrimary(group);
    // Until the target list has been read, every primary would appear to be missing from it.
    if (m_isWriting || !m_areTargetsKnown)
        return;
    if (!hasPresentRecord())
        return reinstateRecord();
    if (m_record->isReinstated && m_earlierRecord)
        correctReinstatement();
    if (m_isWriting)
        return;
    if (m_context.lease.holdsRow() && requiredReplicas() > 0)
        maintainKnownTargets();
    if (m_record->phase == GroupPhase::Open)
        return monitorPrimary(group);
    if (isChangeOwner())
        return advanceChange();
    checkOwner();
}

void GroupFailover::releasePrimary(RelayGroup& group)
{
    if (group.primaryUses() > 0 && m_context.loop.now() < m_releaseDeadline)
        return;
    const size_t n = group.primaryUses();
    group.abandonPrimary();
    m_hasReleasedPrimary = true;
    m_context.log.writeUnlimited("primary_released", { { "group", m_group.value() }, { "term", std::to_string(knownPrimary().term.value()) }, { "abandoned", std::to_string(n) } });
}

// Creates the group's record when there is none, with a target that reports itself as primary.
void GroupFailover::bootstrap()
{
    const Instant now = m_context.loop.now();
    if (m_targets.empty() || !m_context.lease.holdsRow() || !isEraSettled())
        return endFirstRecord();
    if (m_recordSince == Instant()) {
        m_recordSince = now;
        return;
    }
    if (m_isProbeRoundComplete) {
        m_isProbeRoundComplete = false;
        if (createFirstRecord())
            return;
        endFirstRecord();
    }
    // The rank is computed anew, because the leases of the other holders may have been read only now.
    if (now < m_recordSince + bootstrapStaggerPerRank * m_context.leaseMonitor.rankFor(m_group) || now < m_nextProbe)
        return;
    if (m_pendingProbes > 0 || *m_context.firstRecords >= maxRecordsPrepared)
        return;
    ++*m_context.firstRecords;
    m_isPreparingFirstRecord = true;
    probeTargets();
    m_nextProbe = now + std::min(bootstrapProbeInterval * std::exp2(std::min(m_firstProbeRounds++, 8U)), maxBootstrapProbeInterval);
}

void GroupFailover::endFirstRecord()
{
    if (std::exchange(m_isPreparingFirstRecord, false))
        --*m_context.firstRecords;
}

// Records the target that reported itself as primary in the last round of probes, if one did.
bool GroupFailover::createFirstRecord()
{
    const auto term = [](const ProbeResult& it) { return it.report && it.report->isPrimary ? it.report->term : Term(); };
    const auto newest = std::max_element(m_probes.begin(), m_probes.end(), [&term](const auto& a, const auto& b) { return term(a.second) < term(b.second); });
    if (newest == m_probes.end() || !newest->second.report || !newest->second.report->isPrimary)
        return false;
    m_nextProbe = m_context.loop.now() + bootstrapRetryDelay;
    writeRecord(makeOpenRecord(newest->first, newest->second.report->term, newest->second.report->received), false, "the group has no record yet and this target is primary");
    return true;
}

void GroupFailover::beginChange(bool isPlanned, std::string_view why)
{
    GroupRecord record = *m_record;
    record.phase = GroupPhase::Closing;
    record.isPlanned = isPlanned;
    record.owner = m_context.lease.instance();
    record.ownerIncarnation = m_context.lease.incarnation();
    record.candidate = TargetId();
    record.isReinstated = false;
    record.synchronousReplicas = m_synchronousReplicas.value_or(0);
    record.lastMark.reset();
    record.beganAt = m_context.lease.earliestPlatformTime().value_or(Instant());
    writeRecord(std::move(record), true, why);
}

// Takes over the change if its owner holds no valid lease. While the lease is valid, the owner may still request a promotion.
void GroupFailover::checkOwner()
{
    const Instant now = m_context.loop.now();
    if (m_isReadingLeases || now < m_nextOwnerCheck || !m_context.lease.holdsRow())
        return;
    m_nextOwnerCheck = now + ownerCheckInterval;
    m_isReadingLeases = true;
    m_context.leaseMonitor.read([this, version = m_version, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<LeaseTable>& table) {
        if (alive.expired())
            return;
        m_isReadingLeases = false;
        if (!table.ok() || version != m_version || !hasPresentRecord() || !m_context.lease.platformTime() || table->version.era() != m_version.era() || table->hasValidLease(m_record->owner, m_record->ownerIncarnation))
            return;
        takeOver(*table);
    });
}

// The owner may reach the platform again between the read of its lease and this write. The write fails if it has renewed the lease meanwhile,
// and the epoch keeps it from renewing it later without having read the new record.
void GroupFailover::takeOver(const LeaseTable& table)
{
    std::vector<RowExpectation> expected;
    for (const auto& it : table.entries) {
        if (it.instance == m_record->owner)
            expected.push_back({ leaseTable, it.key, it.version });
    }
    GroupRecord record = *m_record;
    record.phase = GroupPhase::Closing;
    record.owner = m_context.lease.instance();
    record.ownerIncarnation = m_context.lease.incarnation();
    writeRecord(std::move(record), true, "the previous owner of the change holds no valid lease", expected);
}

GroupRecord GroupFailover::makeOpenRecord(const TargetId& primary, Term term, const LogMark& termBegin) const
{
    GroupRecord record;
    record.phase = GroupPhase::Open;
    record.primary = primary;
    record.term = term;
    record.termBegin = termBegin;
    if (m_record)
        record.history = m_record->history;
    record.history.add(term, termBegin.position);
    record.owner = m_context.lease.instance();
    record.ownerIncarnation = m_context.lease.incarnation();
    return record;
}

void GroupFailover::writeRecord(GroupRecord record, bool updatesEpoch, std::string_view why, const std::vector<RowExpectation>& expected)
{
    keepUnansweredPromotion(record);
    RowsTransaction transaction;
    transaction.expected = expected;
    transaction.expected.push_back({ controlTable, groupKey(m_group), m_rowVersion });
    transaction.expected.push_back(eraFence(m_context.era->era));
    transaction.writes.push_back({ controlTable, groupKey(m_group), encodeGroupRecord(record) });
    if (updatesEpoch)
        transaction.writes.push_back({ controlTable, epochKey, m_group.value() });
    if (record.phase == GroupPhase::Open) {
        for (const auto& it : m_suspicions)
            transaction.removals.push_back({ controlTable, suspicionKey(m_group, it) });
        if (m_decision)
            transaction.removals.push_back({ controlTable, promotionDecisionKey(m_group) });
    }
    m_isWriting = true;
    m_isRecordUncertain = true;
    m_context.log.writeUnlimited("primary_change", { { "group", m_group.value() }, { "phase", std::to_string(static_cast<int>(record.phase)) }, { "primary", record.primary.value() }, { "term", std::to_string(record.term.value()) }, { "candidate", record.candidate.value() }, { "unanswered_candidate", record.unansweredCandidate.value() }, { "expected_version", textOf(m_rowVersion) }, { "why", std::string(why) } });
    const TargetEntry* old = m_record ? find(m_record->primary) : nullptr;
    const bool isReplaced = old && record.phase == GroupPhase::Open && record.primary != m_record->primary;
    const auto demoted = isReplaced ? std::make_optional(old->target) : std::nullopt;
    m_context.platform.transact(transaction, [this, demoted, term = record.term, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<TransactionAnswer>& answer) {
        if (alive.expired())
            return;
        m_isWriting = false;
        endFirstRecord();
        m_context.log.writeUnlimited("primary_change_answered", { { "group", m_group.value() }, { "answer", !answer.ok() ? std::string(answer.status().message()) : answer->isApplied ? "applied"
                                                                                                                                                                                      : "rejected: the record has changed since it was read" } });
        if (demoted && answer.ok() && answer->isApplied)
            demoteTarget(m_context.connector, *demoted, term);
    });
}

}
