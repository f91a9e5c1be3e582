#include "failover/PrimaryKeeper.h"

#include "leases/Epoch.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds calmInterval { 200 };
    constexpr Milliseconds busyInterval { 20 };

    /// The daemons that suspect the primary of `term`.
    std::set<InstanceId> suspicionsIn(const std::map<std::string, StoredRow>& rows, const GroupId& group, Term term)
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

PrimaryKeeper::PrimaryKeeper(KeeperContext context)
    : m_context(context)
{
}

PrimaryKeeper::~PrimaryKeeper()
{
    m_context.loop.cancel(m_timer);
}

void PrimaryKeeper::start(Relay& relay)
{
    m_relay = &relay;
    tick();
}

GroupFailover& PrimaryKeeper::keeperOf(const GroupId& group)
{
    auto& keeper = m_keepers[group];
    if (!keeper) {
        keeper = std::make_unique<GroupFailover>(m_context, group);
        if (m_areTargetsKnown)
            keeper->setTargets({});
    }
    return *keeper;
}

void PrimaryKeeper::setRows(const std::map<std::string, StoredRow>& rows)
{
    const auto epoch = rows.find(epochKey);
    m_epoch = epoch == rows.end() ? RowVersion() : epoch->second.version;
    m_isKnown = true;
    const std::string prefix = groupKey(GroupId());
    for (auto it = rows.lower_bound(prefix); it != rows.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        const GroupId group(it->first.substr(prefix.size()));
        const auto record = decodeGroupRecord(it->second.value);
        if (!record.ok()) {
            m_context.log.write("primary_record_malformed", { { "group", group.value() }, { "fault", std::string(record.status().message()) } });
            continue;
        }
        GroupFailover& keeper = keeperOf(group);
        keeper.setRecord(*record, it->second.version, m_epoch);
        keeper.setSuspicions(suspicionsIn(rows, group, record->term));
        m_relay->setPrimary(group, keeper.knownPrimary());
    }
    m_context.loop.cancel(m_timer);
    tick();
}

void PrimaryKeeper::setTargets(const std::vector<TargetEntry>& entries)
{
    m_areTargetsKnown = true;
    std::map<GroupId, std::vector<TargetEntry>> byGroup;
    for (const auto& it : entries)
        byGroup[it.target.group].push_back(it);
    for (auto& [group, keeper] : m_keepers) {
        if (byGroup.count(group) == 0)
            keeper->setTargets({});
    }
    for (auto& [group, list] : byGroup)
        keeperOf(group).setTargets(std::move(list));
}

void PrimaryKeeper::primaryAnswered(const GroupId& group)
{
    keeperOf(group).primaryAnswered();
}

void PrimaryKeeper::primaryFailed(const GroupId& group)
{
    keeperOf(group).primaryFailed();
}

void PrimaryKeeper::tick()
{
    bool isBusy = false;
    for (auto& [group, keeper] : m_keepers) {
        RelayGroup* used = m_relay->findGroup(group);
        if (!used || !m_isKnown)
            continue;
        keeper->tick(*used);
        isBusy = isBusy || keeper->isBusy();
    }
    confirmReleases();
    m_timer = m_context.loop.after(isBusy ? busyInterval : calmInterval, [this] { tick(); });
}

void PrimaryKeeper::confirmReleases()
{
    const bool isReleased = std::all_of(m_keepers.begin(), m_keepers.end(), [](const auto& it) { return it.second->isReleased(); });
    if (isReleased && m_isKnown)
        m_context.lease.confirmEpoch(m_epoch);
}

}
