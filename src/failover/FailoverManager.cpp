#include "failover/FailoverManager.h"

#include "leases/Epoch.h"

#include <algorithm>

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
    : m_context(context)
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

void FailoverManager::setRows(const std::map<std::string, StoredRow>& rows)
{
    const auto epoch = rows.find(epochKey);
    m_epoch = epoch == rows.end() ? RowVersion() : epoch->second.version;
    m_areRowsKnown = true;
    const std::string prefix = groupKey(GroupId());
    size_t firstRecords = 0;
    RowVersion newest;
    for (auto it = rows.lower_bound(prefix); it != rows.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        const GroupId group(it->first.substr(prefix.size()));
        GroupFailover& failover = failoverOf(group);
        // With hundreds of groups, decoding all records at each change of one would take most of the daemon's time.
        if (failover.recordVersion() == it->second.version) {
            failover.setEpoch(m_epoch);
            failover.setSuspicions(suspectingDaemons(rows, group, failover.knownPrimary().term));
            continue;
        }
        const auto record = decodeGroupRecord(it->second.value);
        if (!record.ok()) {
            m_context.log.write("primary_record_malformed", { { "group", group.value() }, { "fault", std::string(record.status().message()) } });
            continue;
        }
        firstRecords += failover.recordVersion() == RowVersion() ? 1 : 0;
        newest = std::max(newest, it->second.version);
        failover.setRecord(*record, it->second.version, m_epoch);
        failover.setSuspicions(suspectingDaemons(rows, group, record->term));
        m_relay->setPrimary(group, failover.knownPrimary());
    }
    if (firstRecords > 0)
        m_context.log.write("primary_records_received", { { "first_records", std::to_string(firstRecords) }, { "newest_version", std::to_string(newest.value()) }, { "epoch", std::to_string(m_epoch.value()) } });
    tick();
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

bool FailoverManager::awaitsFirstRecords() const
{
    return std::any_of(m_groups.begin(), m_groups.end(), [](const auto& it) { return it.second->awaitsFirstRecord(); });
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
    bool needsFrequentTicks = false;
    for (auto& [group, failover] : m_groups) {
        if (!m_areRowsKnown || (!isIdleTickDue && !failover->needsFrequentTicks()))
            continue;
        if (RelayGroup* relayGroup = m_relay->findGroup(group)) {
            failover->tick(*relayGroup);
            needsFrequentTicks = needsFrequentTicks || failover->needsFrequentTicks();
        }
    }
    confirmEpochIfReleased();
    m_context.loop.cancel(m_timer);
    m_timer = m_context.loop.after(needsFrequentTicks ? frequentTickInterval : m_nextIdleTick - now, [this] { tick(); });
}

void FailoverManager::confirmEpochIfReleased()
{
    const bool haveAllReleased = std::all_of(m_groups.begin(), m_groups.end(), [](const auto& it) { return it.second->hasReleasedPrimary(); });
    if (haveAllReleased && m_areRowsKnown)
        m_context.lease.confirmEpoch(m_epoch);
}

}
