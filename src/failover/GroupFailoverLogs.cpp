#include "failover/GroupFailover.h"

#include "failover/FailoverTimes.h"

#include <algorithm>
#include <utility>

// How the owner of a change finds out whether a candidate has every acknowledged commit, where commits wait for replicas. See
// docs/design/on-the-platform.md.
namespace parsleypaddle {

namespace {

    /// While the owner waits for logs, the time until it probes the targets again is this part of the time that it has waited, within limits.
    constexpr double awaitedProbeFraction = 0.125;
    constexpr Milliseconds maxAwaitedProbeInterval { 500 };

    std::string textOf(const std::vector<TargetId>& targets)
    {
        std::string text;
        for (const auto& it : targets)
            text += (text.empty() ? "" : ", ") + it.value();
        return text;
    }

}

// A change keeps what was configured when it began, since commits were acknowledged under that.
uint32_t GroupFailover::requiredReplicas() const
{
    const uint32_t ofChange = m_record && m_record->phase != GroupPhase::Open ? m_record->synchronousReplicas : 0;
    return std::max(m_synchronousReplicas.value_or(0), ofChange);
}

KnownLogs GroupFailover::knownLogs() const
{
    KnownLogs logs;
    logs.synchronousReplicas = requiredReplicas();
    logs.termBegin = m_record->termBegin;
    for (const auto& it : m_targets) {
        const TargetId& id = it.target.id;
        if (id == m_record->primary)
            continue;
        const auto probe = m_probes.find(id);
        if (probe != m_probes.end() && probe->second.report)
            logs.others.push_back({ id, probe->second.report->received, m_restartedTargets.count(id) > 0 });
    }
    const auto primary = m_probes.find(m_record->primary);
    const bool hasAnswered = primary != m_probes.end() && primary->second.report && isWholeLog(primary->second.report->received, logs);
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
    promote(*candidate, "the replica has every acknowledged commit: it reaches " + parsleypaddle::textOf(*evidence.required()));
    return true;
}

void GroupFailover::chooseCompleteCandidate()
{
    if (promoteCompleteReplica())
        return;
    const KnownLogs logs = knownLogs();
    const LogEvidence evidence = LogEvidence::evaluate(logs);
    awaitLogs(logs, evidence);
    // Kept for the case that the old primary, or this daemon, ends before a replica is complete.
    if (!logs.oldPrimary || m_record->lastMark == logs.oldPrimary)
        return awaitCandidates();
    GroupRecord record = *m_record;
    record.lastMark = logs.oldPrimary;
    writeRecord(std::move(record), false, "the end of the old primary's log is known, and no replica has received it yet");
}

// A replica that is leaving is promoted only if no other one is complete. Those that stay can then catch up from it.
std::optional<TargetId> GroupFailover::completeReplica(const LogEvidence& evidence) const
{
    const TargetEntry* best = nullptr;
    for (const auto& it : m_targets) {
        const TargetId& id = it.target.id;
        const auto probe = m_probes.find(id);
        const bool isEligible = id != m_record->primary && m_rejectedCandidates.count(id) == 0 && !isAwaitingOtherPromotion(id);
        if (!isEligible || probe == m_probes.end() || !probe->second.report || !evidence.covers(probe->second.report->received))
            continue;
        // The promotion of the recorded candidate may already have been requested.
        if (id == m_record->candidate)
            return id;
        if (!best || (best->isLeaving && !it.isLeaving))
            best = &it;
    }
    return best ? std::make_optional(best->target.id) : std::nullopt;
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
            known += (known.empty() ? "" : ", ") + it.target.value() + " " + parsleypaddle::textOf(*it.received) + (it.hasRestarted ? " restarted" : "");
    }
    const std::string required = evidence.required() ? parsleypaddle::textOf(*evidence.required()) : "";
    std::string text = textOf(evidence.missing()) + "|" + required + "|" + known;
    if (text == m_lastLoggedLogs)
        return;
    m_lastLoggedLogs = std::move(text);
    m_context.log.writeUnlimited("promotion_awaits_logs", { { "group", m_group.value() }, { "term", std::to_string(m_record->term.value()) }, { "missing", textOf(evidence.missing()) }, { "required", required }, { "known", known }, { "waited_ms", std::to_string(static_cast<int64_t>(waited.count())) } });
}

}
