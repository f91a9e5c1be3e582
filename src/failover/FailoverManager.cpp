#include "failover/FailoverManager.h"

#include "leases/Epoch.h"
#include "leases/PlatformEraRow.h"

#include <algorithm>
#include <utility>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds idleTickInterval { 200 };
    constexpr Milliseconds frequentTickInterval { 20 };

    /// Daemons that have recorded a suspicion against the group's primary of `term`.
    std::set<InstanceId> suspectingDaemons(const std::map<std::string, StoredRow>& rows, const GroupId& group, Term term)
    {
        const std::string prefix = suspicionPrefix(group);
        std::set<InstanceId> suspicions;
        for (auto it = rows.lower_bound(prefix); it != rows.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
            if (it->second.value == std::to_string(term.value()))
                suspicions.insert(InstanceId(it->first.substr(prefix.size())));
        }
        return suspicions;
    }

}

FailoverManager::FailoverManager(FailoverContext context)
    : m_context(std::move(context))
    , m_eraRowWriter(m_context)
{
}

FailoverManager::~FailoverManager()
{
    m_context.loop.cancel(m_timer);
}

void FailoverManager::start(Relay& relay)
{
    m_relay = &relay;
    tick();
}

GroupFailover& FailoverManager::failoverOf(const GroupId& group)
{
    auto& failover = m_groups[group];
    if (!failover) {
        failover = std::make_unique<GroupFailover>(m_context, group);
        if (m_areTargetsKnown)
            failover->setTargets({});
    }
    return *failover;
}

void FailoverManager::setRows(const std::map<std::string, StoredRow>& rows, RowVersion asOf)
{
    if (asOf.era() > m_context.era->era)
        beginEra(asOf.era());
    applyEraRow(rows);
    const auto epoch = rows.find(epochKey);
    m_epoch = epoch == rows.end() ? RowVersion(asOf.era(), 0) : epoch->second.version;
    m_areRowsKnown = true;
    const std::string prefix = groupKey(GroupId());
    size_t firstRecords = 0;
    RowVersion newest;
    for (auto it = rows.lower_bound(prefix); it != rows.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        const GroupId group(it->first.substr(prefix.size()));
        firstRecords += failoverOf(group).recordVersion() == RowVersion() ? 1 : 0;
        newest = std::max(newest, it->second.version);
        applyRecord(rows, it->second, group);
        applyLogRows(rows, failoverOf(group), group);
    }
    if (firstRecords > 0)
        m_context.log.write("primary_records_received", { { "first_records", std::to_string(firstRecords) }, { "newest_version", textOf(newest) }, { "epoch", textOf(m_epoch) } });
    tick();
}

// Leases of the earlier era that are still valid show that no primary was replaced in it without this daemon's release: a change waits
// for them, and after the end of the era nobody can read that they have expired.
void FailoverManager::beginEra(PlatformEra era)
{
    const bool knowsPrimaries = m_areRowsKnown && m_context.lease.isValid();
    if (m_areRowsKnown)
        m_context.log.write("platform_restored", { { "era", std::to_string(era.value()) }, { "previous", std::to_string(m_context.era->era.value()) }, { "lease", m_context.lease.isValid() ? "valid" : "expired" }, { "epoch", textOf(m_epoch) }, { "groups", std::to_string(m_groups.size()) } });
    *m_context.era = { era, std::nullopt, Instant() };
    for (auto& [group, failover] : m_groups) {
        failover->beginEra(knowsPrimaries);
        m_relay->setPrimary(group, failover->knownPrimary());
    }
}

void FailoverManager::applyEraRow(const std::map<std::string, StoredRow>& rows)
{
    PlatformEraState& state = *m_context.era;
    const auto it = rows.find(eraKey(state.era));
    if (!state.isRestored() || state.row || it == rows.end())
        return;
    const auto row = decodeEraRow(it->second);
    if (!row.ok()) {
        m_context.log.write("platform_era_malformed", { { "era", std::to_string(state.era.value()) }, { "fault", std::string(row.status().message()) } });
        return;
    }
    state.row = *row;
    state.rowSince = m_context.loop.now();
    m_context.log.write("platform_era_known", { { "era", std::to_string(state.era.value()) }, { "version", textOf(row->version) }, { "began_at", std::to_string(row->beganAt.sinceEpoch()) } });
}

void FailoverManager::applyRecord(const std::map<std::string, StoredRow>& rows, const StoredRow& row, const GroupId& group)
{
    GroupFailover& failover = failoverOf(group);
    const bool isPresent = m_context.era->isPresent(row.version);
    // With hundreds of groups, decoding all records at each change of one would take most of the daemon's time.
    if (row.version == (isPresent ? failover.recordVersion() : failover.rowVersion())) {
        failover.setEpoch(m_epoch);
        failover.setSuspicions(suspectingDaemons(rows, group, failover.knownPrimary().term));
        return;
    }
    const auto record = decodeGroupRecord(row.value);
    if (!record.ok()) {
        m_context.log.write("primary_record_malformed", { { "group", group.value() }, { "fault", std::string(record.status().message()) } });
        return;
    }
    if (isPresent)
        failover.setRecord(*record, row.version, m_epoch);
    else
        failover.setRecordOfCopy(*record, row.version, m_epoch);
    failover.setSuspicions(suspectingDaemons(rows, group, failover.knownPrimary().term));
    m_relay->setPrimary(group, failover.knownPrimary());
}

void FailoverManager::applyLogRows(const std::map<std::string, StoredRow>& rows, GroupFailover& failover, const GroupId& group)
{
    const auto rowOf = [&rows](const std::string& key) {
        const auto it = rows.find(key);
        return it == rows.end() ? nullptr : &it->second;
    };
    failover.setKnownTargets(rowOf(knownTargetsKey(group)));
    failover.setDecision(rowOf(promotionDecisionKey(group)));
}

void FailoverManager::setTargets(const std::vector<TargetEntry>& entries)
{
    m_areTargetsKnown = true;
    std::map<GroupId, std::vector<TargetEntry>> byGroup;
    for (const auto& it : entries)
        byGroup[it.target.group].push_back(it);
    for (auto& [group, failover] : m_groups) {
        if (byGroup.count(group) == 0)
            failover->setTargets({});
    }
    for (auto& [group, list] : byGroup)
        failoverOf(group).setTargets(std::move(list));
}

bool FailoverManager::awaitsRecords() const
{
    return std::any_of(m_groups.begin(), m_groups.end(), [](const auto& it) { return it.second->awaitsRecord(); });
}

bool FailoverManager::mayOwnChange() const
{
    return std::any_of(m_groups.begin(), m_groups.end(), [](const auto& it) { return it.second->mayOwnChange(); });
}

void FailoverManager::primaryAnswered(const GroupId& group)
{
    failoverOf(group).primaryAnswered();
}

void FailoverManager::primaryFailed(const GroupId& group)
{
    failoverOf(group).primaryFailed();
}

// With hundreds of groups, a step of all of them every few milliseconds would take most of a small instance's time.
void FailoverManager::tick()
{
    const Instant now = m_context.loop.now();
    const bool isIdleTickDue = now >= m_nextIdleTick;
    if (isIdleTickDue)
        m_nextIdleTick = now + idleTickInterval;
    m_eraRowWriter.tick();
    bool needsFrequentTicks = false;
    size_t awaitingLogs = 0;
    size_t unlistedLogHolders = 0;
    for (auto& [group, failover] : m_groups) {
        if (!m_areRowsKnown || (!isIdleTickDue && !failover->needsFrequentTicks()))
            continue;
        if (RelayGroup* relayGroup = m_relay->findGroup(group)) {
            failover->setSynchronousReplicas(m_relay->synchronousReplicasOf(group));
            failover->tick(*relayGroup);
            needsFrequentTicks = needsFrequentTicks || failover->needsFrequentTicks();
        }
        awaitingLogs += failover->isAwaitingLogs() ? 1 : 0;
        unlistedLogHolders += isIdleTickDue ? failover->unlistedLogHolders() : 0;
    }
    m_context.metrics.set(MetricGauge::ChangesAwaitingLogs, static_cast<double>(awaitingLogs));
    if (isIdleTickDue)
        m_context.metrics.set(MetricGauge::UnlistedLogHolders, static_cast<double>(unlistedLogHolders));
    confirmEpochIfReleased();
    m_context.loop.cancel(m_timer);
    m_timer = m_context.loop.after(needsFrequentTicks ? frequentTickInterval : m_nextIdleTick - now, [this] { tick(); });
}

void FailoverManager::confirmEpochIfReleased()
{
    const bool haveAllReleased = std::all_of(m_groups.begin(), m_groups.end(), [](const auto& it) { return it.second->hasReleasedPrimary(); });
    if (haveAllReleased && m_areRowsKnown)
        m_context.lease.confirmEpoch(m_epoch, m_context.era->isPresent(m_epoch) ? InstanceLease::EpochOrigin::PresentEra : InstanceLease::EpochOrigin::Copy);
}

}
