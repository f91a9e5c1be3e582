#include "failover/LeaseBoard.h"

#include <algorithm>
#include <xxhash.h>

namespace parsleypaddle {

namespace {

    /// The number of daemons changes seldom, and a share that is off for some seconds only moves connections.
    constexpr Milliseconds refreshInterval { 5000 };
    /// In a large fleet each daemon reads less often, since every reading brings a row for each.
    constexpr Milliseconds refreshForEach { 150 };
    /// Every suspicion wakes every daemon's watch, so a large fleet cannot ask all.
    constexpr size_t maxVoters = 9;
    /// What a lease is taken to hold that cannot be read: longer than any that this version writes for its fleet.
    constexpr Milliseconds unreadableLength { 30'000 };

}

bool LeaseTable::isReleased(RowVersion epoch) const
{
    for (const auto& [instance, entry] : entries) {
        if (entry.version <= epoch && !isExpired(entry.lease, platformTime))
            return false;
    }
    return true;
}

bool LeaseTable::hasValidLease(const InstanceId& instance, const std::string& incarnation) const
{
    auto it = entries.find(instance);
    return it != entries.end() && it->second.lease.incarnation == incarnation && !isExpired(it->second.lease, platformTime);
}

LeaseBoard::LeaseBoard(EventLoop& loop, PlatformRows& platform, InstanceId own)
    : m_loop(loop)
    , m_platform(platform)
    , m_own(std::move(own))
{
}

void LeaseBoard::start(std::function<void()> changed)
{
    m_changed = std::move(changed);
    refresh();
}

void LeaseBoard::refresh()
{
    read([](const absl::StatusOr<LeaseTable>&) {});
    m_loop.after(std::max(refreshInterval, refreshForEach * m_daemons), [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            refresh();
    });
}

void LeaseBoard::read(Done done)
{
    m_platform.readAll(leaseTable, [this, done = std::move(done), alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<RowsAnswer>& answer) {
        if (alive.expired())
            return;
        if (!answer.ok())
            return done(answer.status());
        LeaseTable table;
        table.platformTime = answer->platformTime;
        for (const auto& it : answer->rows) {
            // A lease that cannot be read counts as one that was asked for just now.
            const auto lease = decodeLeaseRow(it.value);
            table.entries[InstanceId(it.key)] = { lease.ok() ? *lease : LeaseRow { "", answer->platformTime, unreadableLength, {}, 0 }, it.version };
        }
        take(table);
        done(table);
    });
}

void LeaseBoard::take(const LeaseTable& table)
{
    uint32_t daemons = 0;
    uint32_t place = 0;
    double sessions = 0;
    double ownSessions = 0;
    bool hasOwn = false;
    m_peers.clear();
    m_heard.clear();
    for (const auto& [instance, entry] : table.entries) {
        if (isExpired(entry.lease, table.platformTime))
            continue;
        sessions += entry.lease.sessions;
        if (instance == m_own) {
            ownSessions = entry.lease.sessions;
            m_ownDomain = entry.lease.addresses.failureDomain;
        }
        if (instance < m_own)
            ++place;
        hasOwn = hasOwn || instance == m_own;
        if (instance != m_own && !entry.lease.addresses.host.empty())
            m_peers.push_back({ instance, entry.lease.addresses });
        ++daemons;
        // A daemon renews several times within half of its lease.
        if (table.platformTime - entry.lease.requestedAt <= entry.lease.duration * 0.5)
            m_heard.emplace_back(instance, entry.lease.addresses.failureDomain);
    }
    m_place = place;
    m_daemons = hasOwn ? daemons : daemons + 1;
    // Callers come and go faster than leases are read, so they decide only in part.
    constexpr double equalPart = 0.5;
    const double equalShare = 1.0 / m_daemons;
    m_share = sessions > 0 ? equalPart * equalShare + (1 - equalPart) * ownSessions / sessions : equalShare;
    if (m_changed)
        m_changed();
}

std::set<InstanceId> LeaseBoard::votersFor(const GroupId& group) const
{
    const uint64_t seed = XXH64(group.value().data(), group.value().size(), 0);
    std::map<FailureDomainId, std::map<uint64_t, InstanceId>> byDomain;
    // This daemon is there even where its own lease was not read yet.
    byDomain[m_ownDomain][XXH64(m_own.value().data(), m_own.value().size(), seed)] = m_own;
    for (const auto& [instance, domain] : m_heard)
        byDomain[domain][XXH64(instance.value().data(), instance.value().size(), seed)] = instance;
    // One of each failure domain in turn, so that none of three or more holds a majority.
    std::set<InstanceId> voters;
    while (voters.size() < maxVoters && !byDomain.empty()) {
        for (auto it = byDomain.begin(); it != byDomain.end() && voters.size() < maxVoters;) {
            voters.insert(it->second.begin()->second);
            it->second.erase(it->second.begin());
            it = it->second.empty() ? byDomain.erase(it) : std::next(it);
        }
    }
    return voters;
}

uint32_t LeaseBoard::rankFor(const GroupId& group) const
{
    const uint64_t hash = XXH64(group.value().data(), group.value().size(), 0);
    return static_cast<uint32_t>((m_place + hash) % m_daemons);
}

}
