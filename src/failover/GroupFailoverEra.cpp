#include "failover/GroupFailover.h"

#include "failover/FailoverTimes.h"

#include <algorithm>
#include <tuple>

// What a daemon does when the platform has returned from a copy: it reinstates the group's record, which may be missing there.
namespace parsleypaddle {

namespace {

    /// Delay per rank before a holder reinstates a record, so that others write only if those before them do not.
    constexpr Milliseconds reinstatementDelayPerRank { 400 };
    /// Delay of holders that know of a change of primary in progress. A holder that does not know of it shows that nothing was promoted,
    /// and can reinstate the primary in use.
    constexpr Milliseconds unfinishedChangeDelay { 500 };
    /// Delay of holders that do not know whether the primary was replaced, and of those that know the record of the copy only. Whatever
    /// they reinstate interrupts the use of the primary.
    constexpr Milliseconds uncertainDelay { 2500 };
    constexpr Milliseconds copyOnlyDelay { 1500 };
    constexpr Milliseconds rewriteDelay { 500 };

    /// Whether a record is later than another one of the same group.
    bool isLater(const GroupRecord& a, const GroupRecord& b)
    {
        return std::tie(a.term, a.phase) > std::tie(b.term, b.phase);
    }

}

bool GroupFailover::hasPresentRecord() const
{
    return m_record && (!m_context.era->isRestored() || m_version.era() == m_context.era->era);
}

bool GroupFailover::isEraSettled() const
{
    const PlatformEraState& era = *m_context.era;
    const auto platformTime = m_context.lease.platformTime();
    return (platformTime && era.isSettled(*platformTime)) || era.isSettledSince(m_context.loop.now());
}

void GroupFailover::beginEra(bool knowsPrimary)
{
    m_rowVersion = RowVersion(m_context.era->era, 0);
    m_epoch = m_rowVersion;
    m_isReleasedEverywhere = false;
    m_isRecordUncertain = false;
    abandonProbeRound();
    m_suspicions.clear();
    m_isSuspicionWritten = false;
    m_rejectedCandidates.clear();
    endFirstRecord();
    if (knowsPrimary || !m_record)
        return;
    keepEarlierRecord();
    m_record.reset();
    m_hasReleasedPrimary = false;
    m_releaseDeadline = m_context.loop.now();
}

void GroupFailover::keepEarlierRecord()
{
    if (!m_record || (m_earlierRecord && isLater(*m_earlierRecord, *m_record)))
        return;
    m_earlierRecord = m_record;
    m_wasEarlierReceived = true;
}

void GroupFailover::setRecordOfCopy(const GroupRecord& record, RowVersion version, RowVersion epoch)
{
    m_epoch = epoch;
    m_rowVersion = version;
    if (m_record || (m_earlierRecord && !isLater(record, *m_earlierRecord)))
        return;
    m_earlierRecord = record;
    m_wasEarlierReceived = false;
}

void GroupFailover::reinstateRecord()
{
    const PlatformEraState& era = *m_context.era;
    if (!m_record && !m_earlierRecord)
        return bootstrap();
    if (!era.row || !m_context.lease.holdsRow())
        return;
    const Instant now = m_context.loop.now();
    Instant due = era.rowSince + reinstatementDelayPerRank * m_context.leaseMonitor.rankFor(m_group);
    if (!m_record)
        due = due + uncertainDelay + (m_wasEarlierReceived ? Milliseconds(0) : copyOnlyDelay);
    else if (m_record->phase != GroupPhase::Open)
        due = due + unfinishedChangeDelay;
    if (now >= due && now >= m_nextReinstatement)
        writeReinstatement(m_record ? *m_record : *m_earlierRecord);
}

// A record under which this daemon holds a lease from before the copy is known to be the latest one, unless a change is in progress.
// All others are written as a change, which finds out by the targets who is primary.
void GroupFailover::writeReinstatement(GroupRecord record)
{
    if (*m_context.firstRecords >= maxRecordsPrepared)
        return;
    ++*m_context.firstRecords;
    m_isPreparingFirstRecord = true;
    m_nextReinstatement = m_context.loop.now() + rewriteDelay;
    const bool isCertain = m_record && m_record->phase == GroupPhase::Open && !hasPresentRecord();
    record.isReinstated = !isCertain;
    if (!isCertain)
        record.phase = GroupPhase::Closing;
    record.owner = m_context.lease.instance();
    record.ownerIncarnation = m_context.lease.incarnation();
    writeRecord(std::move(record), !isCertain, isCertain ? "the platform has returned from a copy, and this record was in force" : "the platform has returned from a copy, and a later record may be lost");
}

// Another daemon has reinstated a record of a lower term than this one knows.
void GroupFailover::correctReinstatement()
{
    if (m_earlierRecord->term <= m_record->term || !m_context.lease.holdsRow() || m_context.loop.now() < m_nextReinstatement)
        return;
    writeReinstatement(*m_earlierRecord);
}

// A promotion is ordered only when no daemon uses the old primary any more, so none needs to be waited for again.
bool GroupFailover::adoptPromotedTarget()
{
    const auto term = [this](const auto& it) { return isNewPrimary(it.first, it.second.report) ? it.second.report->term : Term(); };
    const auto newest = std::max_element(m_probes.begin(), m_probes.end(), [&term](const auto& a, const auto& b) { return term(a) < term(b); });
    if (newest == m_probes.end() || term(*newest) <= m_record->term || isAwaitingOtherPromotion(newest->first))
        return false;
    writeRecord(makeOpenRecord(newest->first, term(*newest), newest->second.report->received), false, "a target was promoted before the platform returned from a copy");
    return true;
}

// Once the leases of earlier eras have expired, nobody can order a promotion under a record that was lost. A target that was promoted
// before shows its term, as do the replicas that follow it.
bool GroupFailover::isUnreplaced() const
{
    if (!m_isReleasedEverywhere || !m_isProbeRoundComplete)
        return false;
    size_t reports = 0;
    for (const auto& [id, probe] : m_probes) {
        if (!probe.report)
            continue;
        if (probe.report->term > m_record->term)
            return false;
        ++reports;
    }
    return reports * 2 > m_targets.size();
}

}
