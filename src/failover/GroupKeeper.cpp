#include "failover/GroupKeeper.h"

#include "failover/FailoverTimes.h"
#include "leases/Epoch.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// Daemons begin a change one after the other, so that they do not all write at once.
    constexpr Milliseconds stagger { 80 };
    /// A primary that has answered a statement so lately lives, whatever a new connection meets.
    constexpr Milliseconds answerPatience { 700 };
    /// Two failures in a row: one may be a single lost packet.
    constexpr uint32_t failedProbesForSuspicion = 2;
    /// A primary that leaves statements unanswered for so long, and answers no other one, is asked over a new connection.
    /// Statements take some tens of milliseconds, the longest some hundreds.
    constexpr Milliseconds silencePatience { 300 };
    /// The first daemons that suspect a primary read so often who is left to agree with them, those behind them less often: in a
    /// large fleet each reading is long.
    constexpr Milliseconds jurorReview { 500 };
    constexpr double laterPerRank = 0.2;
    /// Jurors that suspect a primary as well have written so by then.
    constexpr Milliseconds jurorsHeadStart { 100 };
    /// Pause after a suspicion could not be written.
    constexpr Milliseconds suspicionRetry { 300 };
    /// The owner of a change that takes longer is checked.
    constexpr Milliseconds ownerPatience { 1500 };
    constexpr Milliseconds ownerCheckInterval { 500 };

}

GroupKeeper::GroupKeeper(KeeperContext context, GroupId group)
    : m_context(context)
    , m_group(std::move(group))
{
}

void GroupKeeper::setRecord(const GroupRecord& record, RowVersion version, RowVersion epoch)
{
    m_epoch = epoch;
    if (m_record && version <= m_version)
        return;
    const Instant now = m_context.loop.now();
    const bool wasOpen = !m_record || m_record->phase == GroupPhase::Open;
    m_context.log.write("primary_record", { { "group", m_group.value() }, { "phase", std::to_string(static_cast<int>(record.phase)) }, { "primary", record.primary.value() }, { "term", std::to_string(record.term.value()) }, { "candidate", record.candidate.value() }, { "owner", record.owner.value() }, { "version", std::to_string(version.value()) } });
    m_record = record;
    m_version = version;
    m_recordSince = now;
    if (record.phase == GroupPhase::Open) {
        m_isReleased = true;
        m_failedProbes = 0;
        m_isToProbe = false;
        m_isSuspicionWritten = false;
        m_nextJurorReview = Instant();
        m_missingSince.reset();
        m_leavingSince.reset();
        m_refused.clear();
        return;
    }
    if (wasOpen) {
        m_isReleased = false;
        m_releaseBy = now + (record.isPlanned ? plannedReleaseTimeout : Milliseconds(0));
        m_isReleasedEverywhere = false;
    }
    m_probes.clear();
    m_isRoundComplete = false;
    m_nextPromotion = now;
    m_nextProbe = now;
    m_nextOwnerCheck = now + ownerPatience + stagger * m_context.board.rankFor(m_group);
}

void GroupKeeper::setSuspicions(std::set<InstanceId> suspicions)
{
    m_suspicions = std::move(suspicions);
    m_isSuspicionWritten = m_suspicions.count(m_context.lease.instance()) > 0;
    // In a large fleet a primary that is only slow must not be asked by everybody.
    if (!m_suspicions.empty() && isJuror())
        m_isToProbe = true;
}

void GroupKeeper::setEntries(std::vector<TargetEntry> entries)
{
    m_entries = std::move(entries);
    m_isListed = true;
}

void GroupKeeper::primaryAnswered()
{
    m_lastAnswer = m_context.loop.now();
    if (m_failedProbes == 0)
        m_isToProbe = m_isToProbe && !m_suspicions.empty();
}

bool GroupKeeper::isBusy() const
{
    return !m_record || m_record->phase != GroupPhase::Open || m_isToProbe || m_leavingSince || m_missingSince;
}

PrimaryBelief GroupKeeper::belief() const
{
    if (!m_record)
        return {};
    return { m_record->primary, m_record->term, m_record->phase == GroupPhase::Open };
}

bool GroupKeeper::isOwn() const
{
    return m_record->owner == m_context.lease.instance() && m_record->ownerIncarnation == m_context.lease.incarnation();
}

const TargetEntry* GroupKeeper::find(const TargetId& target) const
{
    auto it = std::find_if(m_entries.begin(), m_entries.end(), [&target](const TargetEntry& entry) { return entry.target.id == target; });
    return it == m_entries.end() ? nullptr : &*it;
}

void GroupKeeper::tick(RelayGroup& group)
{
    if (!m_isReleased)
        release(group);
    // Before the list was read every primary would seem to be missing.
    if (m_isWriting || !m_isListed)
        return;
    if (!m_record)
        return bootstrap();
    if (m_record->phase == GroupPhase::Open)
        return watchPrimary(group);
    if (isOwn())
        return drive();
    watchOwner();
}

void GroupKeeper::release(RelayGroup& group)
{
    if (group.primaryUses() > 0 && m_context.loop.now() < m_releaseBy)
        return;
    const size_t n = group.primaryUses();
    group.abandonPrimary();
    m_isReleased = true;
    m_context.log.write("primary_released", { { "group", m_group.value() }, { "term", std::to_string(m_record->term.value()) }, { "abandoned", std::to_string(n) } });
}

// Nobody has recorded a primary yet: the one that leads is recorded.
void GroupKeeper::bootstrap()
{
    const Instant now = m_context.loop.now();
    if (m_entries.empty())
        return;
    if (m_recordSince == Instant()) {
        m_recordSince = now + stagger * m_context.board.rankFor(m_group);
        return;
    }
    if (now < m_recordSince || now < m_nextProbe)
        return;
    probeAll();
    if (!m_isRoundComplete)
        return;
    m_isRoundComplete = false;
    for (const auto& [id, probe] : m_probes) {
        if (probe.report && probe.report->isPrimary)
            return write(opened(id, probe.report->term), false, "the first primary of the group");
    }
}

void GroupKeeper::watchPrimary(const RelayGroup& group)
{
    const Instant now = m_context.loop.now();
    const auto waitingSince = group.oldestPrimaryWait();
    if (waitingSince && now - std::max(*waitingSince, m_lastAnswer) > silencePatience)
        m_isToProbe = true;
    const TargetEntry* entry = find(m_record->primary);
    if (entry)
        m_missingSince.reset();
    else if (!m_missingSince)
        m_missingSince = now;
    if (!entry || !entry->isLeaving)
        m_leavingSince.reset();
    else if (!m_leavingSince)
        m_leavingSince = now;
    const Milliseconds turn = stagger * m_context.board.rankFor(m_group);
    if (m_leavingSince && now >= *m_leavingSince + turn)
        return beginChange(true, "the primary is leaving");
    if (m_missingSince && now >= *m_missingSince + turn)
        return beginChange(false, "the primary is missing from the platform's list");
    const bool isSuspect = m_failedProbes >= failedProbesForSuspicion;
    if (isSuspect && isLostToMost())
        return beginChange(false, "most daemons cannot reach the primary");
    if (isSuspect && now >= m_nextJurorReview) {
        // The first review comes after the suspicions of all who are there.
        if (m_nextJurorReview == Instant())
            m_suspectSince = now;
        else
            m_context.board.read([](const absl::StatusOr<LeaseTable>&) {});
        m_nextJurorReview = now + jurorReview * (1 + m_context.board.rankFor(m_group) * laterPerRank);
    }
    if (isSuspect && !m_isSuspicionWritten && now >= m_nextSuspicion && isSuspicionWanted())
        return noteSuspicion(true);
    if (m_isToProbe && entry)
        probePrimary();
}

// Jurors may not use the primary themselves, so the first suspicion on record calls them, whoever writes it.
bool GroupKeeper::isSuspicionWanted() const
{
    return isJuror() || (m_suspicions.empty() && m_context.loop.now() >= m_suspectSince + jurorsHeadStart);
}

bool GroupKeeper::isJuror() const
{
    return m_context.board.jurorsOf(m_group).count(m_context.lease.instance()) > 0;
}

bool GroupKeeper::isLostToMost() const
{
    const auto jurors = m_context.board.jurorsOf(m_group);
    const auto n = std::count_if(jurors.begin(), jurors.end(), [this](const InstanceId& it) { return m_suspicions.count(it) > 0; });
    return static_cast<size_t>(n) * 2 > jurors.size();
}

void GroupKeeper::probePrimary()
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
            primaryProbed(result);
    });
}

void GroupKeeper::primaryProbed(const ProbeResult& result)
{
    const bool isDeposed = result.report && (!result.report->isPrimary || result.report->term != m_record->term);
    if (result.hasAnswered && !isDeposed) {
        m_failedProbes = 0;
        m_nextJurorReview = Instant();
        // Others who cannot reach it may be right about their own paths.
        m_isToProbe = false;
        if (m_isSuspicionWritten)
            noteSuspicion(false);
        return;
    }
    // An overloaded primary takes long to open a connection, and still answers on those that are open.
    if (!isDeposed && !result.isRefused && m_context.loop.now() - m_lastAnswer < answerPatience)
        return;
    // A probe that times out has waited through what a refused one has to show twice.
    m_failedProbes = isDeposed || !result.isRefused ? failedProbesForSuspicion : m_failedProbes + 1;
    m_context.log.write("primary_probe_failed", { { "group", m_group.value() }, { "primary", m_record->primary.value() }, { "in_a_row", std::to_string(m_failedProbes) }, { "deposed", isDeposed ? "yes" : "no" } });
}

void GroupKeeper::noteSuspicion(bool isSuspect)
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
        m_nextSuspicion = m_context.loop.now() + suspicionRetry;
    });
}

void GroupKeeper::beginChange(bool isPlanned, std::string_view why)
{
    GroupRecord record = *m_record;
    record.phase = GroupPhase::Closing;
    record.isPlanned = isPlanned;
    record.owner = m_context.lease.instance();
    record.ownerIncarnation = m_context.lease.incarnation();
    record.candidate = TargetId();
    write(std::move(record), true, why);
}

// The owner of a change may have died. Its lease says so: while it lasts, the owner may still order a promotion.
void GroupKeeper::watchOwner()
{
    const Instant now = m_context.loop.now();
    if (m_isReadingLeases || now < m_nextOwnerCheck)
        return;
    m_nextOwnerCheck = now + ownerCheckInterval;
    m_isReadingLeases = true;
    m_context.board.read([this, version = m_version, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<LeaseTable>& table) {
        if (alive.expired())
            return;
        m_isReadingLeases = false;
        if (!table.ok() || version != m_version || table->hasValidLease(m_record->owner, m_record->ownerIncarnation))
            return;
        GroupRecord record = *m_record;
        record.phase = GroupPhase::Closing;
        record.owner = m_context.lease.instance();
        record.ownerIncarnation = m_context.lease.incarnation();
        write(std::move(record), false, "the daemon that carried the change out is gone");
    });
}

GroupRecord GroupKeeper::opened(const TargetId& primary, Term term) const
{
    GroupRecord record;
    record.phase = GroupPhase::Open;
    record.primary = primary;
    record.term = term;
    record.owner = m_context.lease.instance();
    record.ownerIncarnation = m_context.lease.incarnation();
    return record;
}

void GroupKeeper::write(GroupRecord record, bool movesEpoch, std::string_view why)
{
    RowsTransaction transaction;
    transaction.expected.push_back({ controlTable, groupKey(m_group), m_version });
    transaction.writes.push_back({ controlTable, groupKey(m_group), encodeGroupRecord(record) });
    if (movesEpoch)
        transaction.writes.push_back({ controlTable, epochKey, m_group.value() });
    if (record.phase == GroupPhase::Open) {
        for (const auto& it : m_suspicions)
            transaction.removals.push_back({ controlTable, suspicionKey(m_group, it) });
    }
    m_isWriting = true;
    m_context.log.write("primary_change", { { "group", m_group.value() }, { "phase", std::to_string(static_cast<int>(record.phase)) }, { "primary", record.primary.value() }, { "term", std::to_string(record.term.value()) }, { "candidate", record.candidate.value() }, { "expected_version", std::to_string(m_version.value()) }, { "why", std::string(why) } });
    const TargetEntry* old = m_record ? find(m_record->primary) : nullptr;
    const bool isReplaced = old && record.phase == GroupPhase::Open && record.primary != m_record->primary;
    const auto demoted = isReplaced ? std::make_optional(old->target) : std::nullopt;
    m_context.platform.transact(transaction, [this, demoted, term = record.term, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<TransactionAnswer>& answer) {
        if (alive.expired())
            return;
        m_isWriting = false;
        m_context.log.write("primary_change_answered", { { "group", m_group.value() }, { "answer", !answer.ok() ? std::string(answer.status().message()) : answer->isApplied ? "applied"
                                                                                                                                                                             : "another change came first" } });
        if (demoted && answer.ok() && answer->isApplied)
            demoteTarget(m_context.connector, *demoted, term);
    });
}

}
