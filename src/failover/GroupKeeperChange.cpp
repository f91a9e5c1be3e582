#include "failover/GroupKeeper.h"

#include "failover/FailoverTimes.h"

#include <algorithm>

// The part of a keeper that carries a change out: release everywhere, choice of the next primary, promotion.
namespace parsleypaddle {

namespace {

    /// How long a planned change waits for a replica that holds all of the primary's log.
    constexpr Milliseconds catchUp { 1500 };
    constexpr Milliseconds promotionRetry { 700 };
    /// A promotion takes effect within some 600 ms; a candidate that does not lead by then is given up.
    constexpr Milliseconds promotionPatience { 3000 };

}

void GroupKeeper::drive()
{
    if (!m_isReleasedEverywhere)
        awaitRelease();
    if (m_record->phase == GroupPhase::Promoting)
        return followPromotion();
    if (m_context.loop.now() >= m_nextProbe)
        probeAll();
    if (isPrimaryBack())
        return write(opened(m_record->primary, m_record->term), false, "the primary can be reached after all");
    if (m_isReleasedEverywhere && m_isRoundComplete)
        choose();
}

// Nothing changes for anybody when the old primary goes on, so this needs no release.
bool GroupKeeper::isPrimaryBack() const
{
    auto probe = m_probes.find(m_record->primary);
    const TargetEntry* entry = find(m_record->primary);
    // Once a promotion may have been ordered, the old primary is out.
    if (m_record->isPlanned || !m_record->candidate.isEmpty() || !entry || entry->isLeaving || probe == m_probes.end() || !probe->second.report)
        return false;
    return probe->second.report->isPrimary && probe->second.report->term == m_record->term;
}

void GroupKeeper::awaitRelease()
{
    if (m_isReadingLeases || !m_isReleased)
        return;
    m_isReadingLeases = true;
    m_context.board.read([this, epoch = m_epoch, version = m_version, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<LeaseTable>& table) {
        if (alive.expired())
            return;
        m_isReadingLeases = false;
        if (!table.ok() || version != m_version || !table->isReleased(epoch))
            return;
        m_isReleasedEverywhere = true;
        // What the targets said before may have been outrun by the last statements.
        m_isRoundComplete = false;
        m_context.log.write("primary_released_everywhere", { { "group", m_group.value() }, { "epoch", std::to_string(epoch.value()) }, { "daemons", std::to_string(table->entries.size()) } });
    });
}

void GroupKeeper::probeAll()
{
    if (m_probesUnderWay > 0)
        return;
    m_nextProbe = m_context.loop.now() + probeInterval;
    m_probesUnderWay = m_entries.size();
    const bool isAfterRelease = m_isReleasedEverywhere || !m_record;
    for (const auto& it : m_entries) {
        const TargetId id = it.target.id;
        probeTarget(m_context.loop, m_context.connector, it.target, [this, id, isAfterRelease, alive = std::weak_ptr<bool>(m_alive)](const ProbeResult& result) {
            if (alive.expired())
                return;
            m_probes[id] = result;
            --m_probesUnderWay;
            m_isRoundComplete = m_probesUnderWay == 0 && isAfterRelease;
        });
    }
}

std::optional<TargetId> GroupKeeper::mostCompleteReplica() const
{
    std::optional<TargetId> best;
    LogMark most;
    for (const auto& it : m_entries) {
        const TargetId& id = it.target.id;
        auto probe = m_probes.find(id);
        const bool isUsable = id != m_record->primary && !it.isLeaving && m_refused.count(id) == 0;
        if (!isUsable || probe == m_probes.end() || !probe->second.report)
            continue;
        const LogMark received = probe->second.report->received;
        // Another daemon may have ordered the promotion of this one already.
        const bool isPreferred = id == m_record->candidate && !(received < most);
        if (best && !isPreferred && !(most < received))
            continue;
        best = id;
        most = received;
    }
    return best;
}

// One line for each change of what the targets say of themselves, not for each round.
void GroupKeeper::logCandidates()
{
    std::string text;
    for (const auto& [id, probe] : m_probes) {
        text += (text.empty() ? "" : ", ") + id.value();
        if (!probe.report)
            text += probe.hasAnswered ? " full" : " silent";
        else
            text += std::string(probe.report->isPrimary ? " primary" : " replica") + " in term " + std::to_string(probe.report->term.value()) + " received " + textOf(probe.report->received);
        if (m_refused.count(id) > 0)
            text += " given up";
    }
    if (text == m_lastCandidates)
        return;
    m_lastCandidates = text;
    m_context.log.write("primary_candidates", { { "group", m_group.value() }, { "targets", text } });
}

// A target that the platform put in the place of the old primary has its log, and leads in the same term.
bool GroupKeeper::isSuccessor(const TargetId& target, const std::optional<RoleReport>& report) const
{
    if (!report || !report->isPrimary)
        return false;
    return report->term > m_record->term || (report->term == m_record->term && target != m_record->primary);
}

void GroupKeeper::choose()
{
    m_isRoundComplete = false;
    logCandidates();
    for (const auto& [id, probe] : m_probes) {
        if (isSuccessor(id, probe.report))
            return write(opened(id, probe.report->term), false, "a target leads already");
    }
    auto oldProbe = m_probes.find(m_record->primary);
    const bool oldLeads = oldProbe != m_probes.end() && oldProbe->second.report && oldProbe->second.report->isPrimary;
    const auto best = mostCompleteReplica();
    if (!best) {
        // Whoever could not lead before may be able to now, and there is nobody else.
        m_refused.clear();
        return;
    }
    const bool isComplete = !oldLeads || !(m_probes[*best].report->received < oldProbe->second.report->received);
    if (!isComplete && m_context.loop.now() < m_recordSince + plannedReleaseTimeout + catchUp)
        return;
    GroupRecord record = *m_record;
    record.phase = GroupPhase::Promoting;
    record.candidate = *best;
    write(std::move(record), false, isComplete ? "the replica holds the whole log" : "the replica holds the most of the log");
}

void GroupKeeper::followPromotion()
{
    const Instant now = m_context.loop.now();
    const TargetEntry* entry = find(m_record->candidate);
    const bool isHopeless = !entry || m_refused.count(m_record->candidate) > 0 || now > m_recordSince + promotionPatience;
    if (isHopeless) {
        m_refused.insert(m_record->candidate);
        GroupRecord record = *m_record;
        record.phase = GroupPhase::Closing;
        return write(std::move(record), false, "the candidate does not lead");
    }
    if (!m_isPromoting && now >= m_nextPromotion && m_isReleasedEverywhere)
        promote();
    if (m_isProbing || now < m_nextProbe)
        return;
    m_isProbing = true;
    m_nextProbe = now + probeInterval;
    probeTarget(m_context.loop, m_context.connector, entry->target, [this, id = entry->target.id, version = m_version, alive = std::weak_ptr<bool>(m_alive)](const ProbeResult& result) {
        if (alive.expired())
            return;
        m_isProbing = false;
        if (version == m_version && isSuccessor(id, result.report))
            write(opened(id, result.report->term), false, "the candidate leads");
    });
}

// The version of the record grows with each change of it, and so serves as the fence.
void GroupKeeper::promote()
{
    if (!m_context.lease.isValid())
        return;
    m_isPromoting = true;
    m_nextPromotion = m_context.loop.now() + promotionRetry;
    m_context.log.write("promotion_ordered", { { "group", m_group.value() }, { "candidate", m_record->candidate.value() }, { "fence", std::to_string(m_version.value()) } });
    m_context.promotions.promote(m_group, m_record->candidate, m_context.lease.instance(), m_version, [this, candidate = m_record->candidate, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<bool>& accepted) {
        if (alive.expired())
            return;
        m_isPromoting = false;
        m_context.log.write("promotion_answered", { { "group", m_group.value() }, { "candidate", candidate.value() }, { "answer", !accepted.ok() ? std::string(accepted.status().message()) : *accepted ? "accepted"
                                                                                                                                                                                                        : "refused" } });
        if (accepted.ok() && !*accepted)
            m_refused.insert(candidate);
    });
}

}
