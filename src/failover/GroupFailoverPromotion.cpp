#include "failover/GroupFailover.h"

#include "failover/FailoverTimes.h"
#include "platform_ports/UnexecutedCall.h"

#include <algorithm>

// How the owner of a change has the platform promote the candidate.
//
// The platform checks neither the token of a call nor any condition, and a call without an answer may be carried out seconds later. So the
// record keeps the target of such a call, and until it is settled no other target is promoted or used as the primary, whoever owns
// the changes of the group by then.
namespace parsleypaddle {

namespace {

    constexpr Milliseconds promotionRetryInterval { 700 };
    /// A candidate is rejected if it has not become primary this long after this daemon received the record that names it, or after the
    /// platform accepted the promotion. A promotion takes about 600 ms.
    constexpr Milliseconds promotionTimeout { 3000 };
    /// A call that was accepted is repeated after this time, or when the candidate cannot be reached: it may have crashed before its promotion.
    constexpr Milliseconds acceptedRetryInterval { 1500 };
    /// The platform answers a promotion after up to one second. A call is not worth sending if it is withdrawn before that.
    constexpr Milliseconds minPromotionTime { 1200 };
    /// The answer to a call arrives at about the time when the candidate becomes primary. This long it is waited for, because a call that
    /// is known to be answered does not delay the next change.
    constexpr Milliseconds answerDelay { 150 };

    PromotionCalls::Outcome outcomeOfPromotion(const absl::StatusOr<bool>& accepted)
    {
        if (accepted.ok())
            return *accepted ? PromotionCalls::Outcome::Accepted : PromotionCalls::Outcome::Refused;
        return isUnexecutedCall(accepted.status()) ? PromotionCalls::Outcome::Unexecuted : PromotionCalls::Outcome::Unanswered;
    }

    /// Whether a call of that outcome was carried out, for the log.
    std::string isExecuted(PromotionCalls::Outcome outcome)
    {
        if (outcome == PromotionCalls::Outcome::Unanswered)
            return "unknown";
        return outcome == PromotionCalls::Outcome::Accepted ? "yes" : "no";
    }

}

void GroupFailover::monitorPromotion()
{
    const Instant now = m_context.loop.now();
    const TargetEntry* entry = find(m_record->candidate);
    const bool hasFailed = !entry || m_rejectedCandidates.count(m_record->candidate) > 0 || hasPromotionTimedOut();
    // A call for a candidate without its log must not be repeated, also if an earlier one is unanswered.
    if (m_hasCandidateLostLog || (hasFailed && (!m_calls.isLastUnanswered() || m_isRecordUncertain))) {
        m_rejectedCandidates.insert(m_record->candidate);
        GroupRecord record = *m_record;
        record.phase = GroupPhase::Closing;
        return writeRecord(std::move(record), false, "the promotion was refused, or the candidate is no longer listed, has lost its log or did not become primary in time");
    }
    // It is not probed any more, so that nothing else would show that it does not lead.
    if (!entry)
        m_candidateLeadsSince.reset();
    if (isPromotionDue())
        requestPromotion();
    if (!entry || m_isProbing || now < m_nextProbe)
        return;
    m_isProbing = true;
    m_nextProbe = now + probeInterval;
    probeTarget(m_context.loop, m_context.connector, entry->target, [this, id = entry->target.id, version = m_version, alive = std::weak_ptr<bool>(m_alive)](const ProbeResult& result) {
        if (alive.expired())
            return;
        m_isProbing = false;
        if (version != m_version)
            return;
        m_isCandidateUnreachable = !result.hasAnswered;
        if (!isNewPrimary(id, result.report)) {
            m_candidateLeadsSince.reset();
            m_hasCandidateLostLog = hasLostLog(result.report);
            return;
        }
        const Instant leadsSince = m_candidateLeadsSince.value_or(m_context.loop.now());
        m_candidateLeadsSince = leadsSince;
        if (!m_calls.isCallOut() || m_context.loop.now() >= leadsSince + answerDelay)
            writeRecord(makeOpenRecord(id, result.report->term, result.report->received), false, "the candidate is primary");
    });
}

bool GroupFailover::hasLostLog(const std::optional<RoleReport>& report) const
{
    return requiredReplicas() > 0 && report && m_record->lastMark && !reaches(report->received, *m_record->lastMark);
}

// While the platform accepts no call, a candidate that answers is not at fault.
bool GroupFailover::hasPromotionTimedOut() const
{
    if (m_calls.isLastUnexecuted() && !m_calls.acceptedAt() && !m_isCandidateUnreachable)
        return false;
    return m_context.loop.now() > std::max(m_recordSince, m_calls.acceptedAt().value_or(Instant())) + promotionTimeout;
}

bool GroupFailover::isPromotionDue() const
{
    const Instant now = m_context.loop.now();
    if (m_calls.isCallOut() || now < m_nextPromotionRequest || !m_isReleasedEverywhere || m_candidateLeadsSince)
        return false;
    return !m_calls.acceptedAt() || m_isCandidateUnreachable || now >= *m_calls.acceptedAt() + acceptedRetryInterval;
}

// The record's version serves as the fencing token, because it increases with every change of the record.
void GroupFailover::requestPromotion()
{
    // Another daemon may take over the change when the lease has expired, so no call may be on its way then.
    const Instant now = m_context.loop.now();
    const Instant until = m_context.lease.rowValidUntil();
    if (now + minPromotionTime > until || m_isRecordUncertain)
        return;
    m_nextPromotionRequest = now + promotionRetryInterval;
    const uint64_t call = m_calls.begin();
    m_context.log.writeUnlimited("promotion_ordered", { { "group", m_group.value() }, { "candidate", m_record->candidate.value() }, { "call", std::to_string(call) }, { "fence", std::to_string(m_version.value()) }, { "version", textOf(m_version) }, { "epoch", textOf(m_epoch) }, { "withdrawn_after_ms", std::to_string(static_cast<int64_t>((until - now).count())) } });
    m_context.promotions.promote(m_group, m_record->candidate, m_context.lease.instance(), m_version, until, [this, candidate = m_record->candidate, version = m_version, call, sentAt = now, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<bool>& accepted) {
        if (alive.expired())
            return;
        const PromotionCalls::Outcome outcome = outcomeOfPromotion(accepted);
        m_calls.end(call, outcome, m_context.loop.now());
        logPromotionAnswer(candidate, call, version, sentAt, accepted);
        if (outcome == PromotionCalls::Outcome::Refused && version == m_version)
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
    m_context.log.writeUnlimited("promotion_answered", { { "group", m_group.value() }, { "candidate", candidate.value() }, { "call", std::to_string(call) }, { "fence", std::to_string(version.value()) }, { "after_ms", std::to_string(static_cast<int64_t>((m_context.loop.now() - sentAt).count())) }, { "still_wanted", version == m_version ? "yes" : "no" }, { "answer", answer }, { "executed", isExecuted(outcomeOfPromotion(accepted)) } });
}

bool GroupFailover::isAwaitingOtherPromotion(const TargetId& target) const
{
    return m_record && m_record->unansweredCandidate != target && mayUnansweredPromotionAct();
}

bool GroupFailover::mayUnansweredPromotionAct() const
{
    return m_record && mayTakeEffect(*m_record);
}

bool GroupFailover::mayTakeEffect(const GroupRecord& record) const
{
    if (record.unansweredCandidate.isEmpty())
        return false;
    const auto platformTime = m_context.lease.earliestPlatformTime();
    return !platformTime || *platformTime <= record.unansweredUntil;
}

std::optional<Instant> GroupFailover::unansweredUntil(const GroupRecord& previous, const GroupRecord& next) const
{
    if (previous.phase != GroupPhase::Promoting)
        return std::nullopt;
    const Instant now = m_context.loop.now();
    // Of the calls of another daemon nothing is known, so that each of them may be unanswered.
    if (!m_record || !isChangeOwner())
        return now + PromotionPort::maxUnansweredTime;
    std::optional<Instant> until = m_calls.unansweredUntil(now);
    const bool isPromoted = next.phase == GroupPhase::Open && next.primary == previous.candidate;
    if (!isPromoted && m_calls.acceptedUntil())
        until = std::max(until.value_or(Instant()), *m_calls.acceptedUntil());
    return until;
}

// After a return from a copy the record that is written may follow two known ones.
void GroupFailover::keepUnansweredPromotion(GroupRecord& next) const
{
    next.unansweredCandidate = TargetId();
    next.unansweredUntil = Instant();
    const auto keep = [&next](const TargetId& candidate, Instant until) {
        if (until <= next.unansweredUntil)
            return;
        next.unansweredCandidate = candidate;
        next.unansweredUntil = until;
    };
    const Instant now = m_context.loop.now();
    const auto platformTime = m_context.lease.latestPlatformTime();
    for (const auto* previous : { &m_record, &m_earlierRecord }) {
        if (!*previous)
            continue;
        if (mayTakeEffect(**previous))
            keep((*previous)->unansweredCandidate, (*previous)->unansweredUntil);
        const auto until = unansweredUntil(**previous, next);
        if (until && *until > now && platformTime)
            keep((*previous)->candidate, *platformTime + (*until - now));
    }
}

}
