#include "failover/GroupFailover.h"

#include "failover/FailoverTimes.h"
#include "leases/Epoch.h"

#include <algorithm>

// How a daemon watches a group's primary while no change is in progress: it probes it, records suspicions, and begins a change.
namespace parsleypaddle {

namespace {

    /// When the platform has just returned from a copy, a change takes until the leases of earlier eras have expired, and after an unanswered
    /// call for a promotion until that is settled. A primary that is leaving stays in use until then, but no longer than this, because it
    /// serves for a few seconds only.
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

    std::string describe(const ProbeResult& result)
    {
        if (!result.report)
            return result.hasAnswered ? "overloaded" : "no answer";
        return std::string(result.report->isPrimary ? "primary" : "replica") + " in term " + std::to_string(result.report->term.value());
    }

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
    const bool isReplaceable = isEraSettled() && !mayUnansweredPromotionAct();
    const bool isLeavingChangeDue = isHolder && m_leavingSince && now >= *m_leavingSince + rankDelay && (isReplaceable || now >= *m_leavingSince + maxPlannedDelay);
    if (isLeavingChangeDue && !awaitsCloseReplica(*entry))
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
    m_context.log.writeUnlimited("primary_probe_failed", { { "group", m_group.value() }, { "primary", m_record->primary.value() }, { "in_a_row", std::to_string(m_consecutiveFailedProbes) }, { "deposed", isNoLongerPrimary ? "yes" : "no" }, { "term", std::to_string(m_record->term.value()) }, { "version", textOf(m_version) }, { "reported", describe(result) } });
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
    m_context.log.writeUnlimited("primary_suspicion", { { "group", m_group.value() }, { "primary", m_record->primary.value() }, { "suspect", isSuspect ? "yes" : "no" } });
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

}
