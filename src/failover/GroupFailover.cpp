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
    /// Delay per rank before a daemon begins to replace a primary that is leaving or missing, or first
    /// checks a change's owner, so that daemons do not all act at once. A change after a majority suspicion is not delayed.
    constexpr Milliseconds staggerPerRank { 80 };
    /// When the platform has just returned from a copy, a change takes until the leases of earlier eras have expired. A primary that is
    /// leaving stays in use until then, but no longer than this, because it serves for a few seconds only.
    constexpr Milliseconds maxPlannedDelay { 2500 };
    /// A probe that times out does not count as failed if the primary has answered a statement within this time.
    constexpr Milliseconds recentAnswerWindow { 700 };
    /// Failed probes in a row after which a daemon suspects the primary, since a single refused connection may be a transient
    /// fault. A probe that timed out, or that found another role or term, counts as this many.
    constexpr uint32_t failedProbesForSuspicion = 2;
    /// The primary is probed over a new connection when a statement has been unanswered for this long and no other statement
    /// was answered within this time. Statements take tens of milliseconds, the longest some hundreds.
    constexpr Milliseconds unansweredStatementTimeout { 300 };
    /// While a daemon suspects the primary, it rereads the leases at this interval, so that a daemon that has stopped renewing
    /// its lease does not count as a voter for long. Daemons of higher rank reread less often: in a large fleet each read
    /// returns many rows.
    constexpr Milliseconds leaseReadInterval { 500 };
    constexpr double leaseReadFactorPerRank = 0.2;
    /// Delay before a daemon that is not a voter writes its suspicion. Voters that also suspect the primary have usually
    /// written theirs by then, and it need not write one.
    constexpr Milliseconds nonVoterDelay { 100 };
    /// Delay before a suspicion is written again after the platform did not confirm it.
    constexpr Milliseconds suspicionRetryDelay { 300 };
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
        m_context.log.write("primary_record", { { "group", m_group.value() }, { "phase", std::to_string(static_cast<int>(record.phase)) }, { "primary", record.primary.value() }, { "term", std::to_string(record.term.value()) }, { "candidate", record.candidate.value() }, { "owner", record.owner.value() }, { "reinstated", record.isReinstated ? "yes" : "no" }, { "version", textOf(version) } });
    if (!m_isWriting)
        endFirstRecord();
    if (record.isReinstated)
        keepEarlierRecord();
    m_record = record;
    m_version = version;
    m_rowVersion = version;
    m_recordSince = now;
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
    }
    m_probes.clear();
    m_isProbeRoundComplete = false;
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
    return m_record->phase != GroupPhase::Open || m_isProbeRequested || m_leavingSince || m_missingSince;
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
    m_context.log.write("primary_released", { { "group", m_group.value() }, { "term", std::to_string(knownPrimary().term.value()) }, { "abandoned", std::to_string(n) } });
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
    writeRecord(makeOpenRecord(newest->first, newest->second.report->term), false, "the group has no record yet and this target is primary");
    return true;
}

void GroupFailover::monitorPrimary(const RelayGroup& group)
{
    const Instant now = m_context.loop.now();
    const auto waitingSince = group.oldestPrimaryWait();
    if (waitingSince && now - std::max(*waitingSince, m_lastAnswerAt) > unansweredStatementTimeout)
        m_isProbeRequested = true;
    const TargetEntry* entry = find(m_record->primary);
    if (entry)
        m_missingSince.reset();
    // A list that is older than the record may not include the record's primary yet.
    else if (!m_missingSince && m_context.targetListVersion() >= m_version)
        m_missingSince = now;
    if (!entry || !entry->isLeaving)
        m_leavingSince.reset();
    else if (!m_leavingSince)
        m_leavingSince = now;
    const bool isHolder = m_context.lease.holdsRow();
    const Milliseconds rankDelay = staggerPerRank * m_context.leaseMonitor.rankFor(m_group);
    if (isHolder && m_leavingSince && now >= *m_leavingSince + rankDelay && (isEraSettled() || now >= *m_leavingSince + maxPlannedDelay))
        return beginChange(true, "the primary is leaving");
    if (isHolder && m_missingSince && now >= *m_missingSince + rankDelay)
        return beginChange(false, "the primary is missing from the platform's target list");
    const bool isSuspect = m_consecutiveFailedProbes >= failedProbesForSuspicion;
    if (isHolder && isSuspect && isSuspectedByMajority())
        return beginChange(false, "a majority of the voters cannot reach the primary");
    if (isSuspect && m_nextLeaseRead == Instant())
        m_suspectSince = now;
    if (isSuspect && now >= m_nextLeaseRead) {
        // The leases are not reread when the suspicion starts: live voters need time to record their suspicions first.
        if (isHolder && m_nextLeaseRead != Instant())
            m_context.leaseMonitor.read([](const absl::StatusOr<LeaseTable>&) {});
        m_nextLeaseRead = now + leaseReadInterval * (1 + m_context.leaseMonitor.rankFor(m_group) * leaseReadFactorPerRank);
    }
    if (isSuspect && !m_isSuspicionWritten && now >= m_nextSuspicionWrite && shouldWriteSuspicion())
        return writeSuspicion(true);
    if (m_isProbeRequested && entry)
        probePrimary();
}

// A voter that does not use the primary itself cannot notice its failure, but probes it once any suspicion is recorded.
// A daemon that is not a voter therefore records a suspicion if no other daemon has done so.
bool GroupFailover::shouldWriteSuspicion() const
{
    return isVoter() || (m_suspicions.empty() && m_context.loop.now() >= m_suspectSince + nonVoterDelay);
}

bool GroupFailover::isVoter() const
{
    return m_context.leaseMonitor.votersFor(m_group).count(m_context.lease.instance()) > 0;
}

bool GroupFailover::isSuspectedByMajority() const
{
    const auto voters = m_context.leaseMonitor.votersFor(m_group);
    const auto n = std::count_if(voters.begin(), voters.end(), [this](const InstanceId& it) { return m_suspicions.count(it) > 0; });
    return static_cast<size_t>(n) * 2 > voters.size();
}

void GroupFailover::probePrimary()
{
    const Instant now = m_context.loop.now();
    if (m_isProbing || now < m_nextProbe)
        return;
    m_isProbing = true;
    m_nextProbe = now + probeInterval;
    probeTarget(m_context.loop, m_context.connector, find(m_record->primary)->target, [this, version = m_version, alive = std::weak_ptr<bool>(m_alive)](const ProbeResult& result) {
        if (alive.expired())
            return;
        m_isProbing = false;
        if (version == m_version)
            applyProbeResult(result);
    });
}

void GroupFailover::applyProbeResult(const ProbeResult& result)
{
    const bool isNoLongerPrimary = result.report && (!result.report->isPrimary || result.report->term != m_record->term);
    if (result.hasAnswered && !isNoLongerPrimary) {
        m_consecutiveFailedProbes = 0;
        m_nextLeaseRead = Instant();
        // Does not repeat the probe although other daemons may still suspect the primary: their own network paths may be the
        // cause. If this daemon is a voter, the next change of the control table requests a probe again while suspicions exist.
        m_isProbeRequested = false;
        if (m_isSuspicionWritten)
            writeSuspicion(false);
        return;
    }
    // An overloaded primary may be slow to open new connections, but still answers on open ones.
    if (!isNoLongerPrimary && !result.failedAtOnce && m_context.loop.now() - m_lastAnswerAt < recentAnswerWindow)
        return;
    // The primary is suspected after two probes in a row that failed within 100 ms. A single probe suffices if it timed out,
    // because that takes longer than two such failures, or if the target reports another role or term.
    m_consecutiveFailedProbes = isNoLongerPrimary || !result.failedAtOnce ? failedProbesForSuspicion : m_consecutiveFailedProbes + 1;
    m_context.log.write("primary_probe_failed", { { "group", m_group.value() }, { "primary", m_record->primary.value() }, { "in_a_row", std::to_string(m_consecutiveFailedProbes) }, { "deposed", isNoLongerPrimary ? "yes" : "no" } });
}

void GroupFailover::writeSuspicion(bool isSuspect)
{
    const std::string key = suspicionKey(m_group, m_context.lease.instance());
    RowsTransaction transaction;
    if (isSuspect)
        transaction.writes.push_back({ controlTable, key, std::to_string(m_record->term.value()) });
    else
        transaction.removals.push_back({ controlTable, key });
    m_isWriting = true;
    m_isSuspicionWritten = isSuspect;
    m_context.log.write("primary_suspicion", { { "group", m_group.value() }, { "primary", m_record->primary.value() }, { "suspect", isSuspect ? "yes" : "no" } });
    m_context.platform.transact(transaction, [this, isSuspect, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<TransactionAnswer>& answer) {
        if (alive.expired())
            return;
        m_isWriting = false;
        if (answer.ok())
            return;
        m_isSuspicionWritten = !isSuspect;
        m_nextSuspicionWrite = m_context.loop.now() + suspicionRetryDelay;
    });
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
        if (!table.ok() || version != m_version || !hasPresentRecord() || table->version.era() != m_version.era() || table->hasValidLease(m_record->owner, m_record->ownerIncarnation))
            return;
        GroupRecord record = *m_record;
        record.phase = GroupPhase::Closing;
        record.owner = m_context.lease.instance();
        record.ownerIncarnation = m_context.lease.incarnation();
        writeRecord(std::move(record), false, "the previous owner of the change holds no valid lease");
    });
}

GroupRecord GroupFailover::makeOpenRecord(const TargetId& primary, Term term) const
{
    GroupRecord record;
    record.phase = GroupPhase::Open;
    record.primary = primary;
    record.term = term;
    record.owner = m_context.lease.instance();
    record.ownerIncarnation = m_context.lease.incarnation();
    return record;
}

void GroupFailover::writeRecord(GroupRecord record, bool updatesEpoch, std::string_view why)
{
    RowsTransaction transaction;
    transaction.expected.push_back({ controlTable, groupKey(m_group), m_rowVersion });
    transaction.expected.push_back(eraFence(m_context.era->era));
    transaction.writes.push_back({ controlTable, groupKey(m_group), encodeGroupRecord(record) });
    if (updatesEpoch)
        transaction.writes.push_back({ controlTable, epochKey, m_group.value() });
    if (record.phase == GroupPhase::Open) {
        for (const auto& it : m_suspicions)
            transaction.removals.push_back({ controlTable, suspicionKey(m_group, it) });
    }
    m_isWriting = true;
    m_context.log.write("primary_change", { { "group", m_group.value() }, { "phase", std::to_string(static_cast<int>(record.phase)) }, { "primary", record.primary.value() }, { "term", std::to_string(record.term.value()) }, { "candidate", record.candidate.value() }, { "expected_version", textOf(m_rowVersion) }, { "why", std::string(why) } });
    const TargetEntry* old = m_record ? find(m_record->primary) : nullptr;
    const bool isReplaced = old && record.phase == GroupPhase::Open && record.primary != m_record->primary;
    const auto demoted = isReplaced ? std::make_optional(old->target) : std::nullopt;
    m_context.platform.transact(transaction, [this, demoted, term = record.term, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<TransactionAnswer>& answer) {
        if (alive.expired())
            return;
        m_isWriting = false;
        endFirstRecord();
        m_context.log.write("primary_change_answered", { { "group", m_group.value() }, { "answer", !answer.ok() ? std::string(answer.status().message()) : answer->isApplied ? "applied"
                                                                                                                                                                             : "rejected: the record has changed since it was read" } });
        if (demoted && answer.ok() && answer->isApplied)
            demoteTarget(m_context.connector, *demoted, term);
    });
}

}
