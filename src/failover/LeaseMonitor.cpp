#include "failover/LeaseMonitor.h"

#include <algorithm>
#include <xxhash.h>

namespace parsleypaddle {

namespace {

    /// The number of daemons changes rarely, and a share that is outdated for some seconds only shifts connections between
    /// daemons.
    constexpr Milliseconds refreshInterval { 5000 };
    /// In a large fleet each daemon reads less often, since every read returns one row per daemon.
    constexpr Milliseconds refreshIntervalPerDaemon { 150 };
    /// Every recorded suspicion is delivered to all daemons that watch the control table, so the number of
    /// voters is limited.
    constexpr size_t maxVoters = 9;
    /// Duration given to a lease whose row cannot be decoded: longer than any duration that this version writes. The value has
    /// no effect, because each read treats such a lease as requested just then, so that it never expires.
    constexpr Milliseconds malformedRowDuration { 30'000 };

}

bool LeaseTable::isReleasedByAll(RowVersion epoch) const
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

LeaseMonitor::LeaseMonitor(EventLoop& loop, PlatformRows& platform, InstanceId own)
    : m_loop(loop)
    , m_platform(platform)
    , m_own(std::move(own))
{
}

void LeaseMonitor::start(std::function<void()> changed)
{
    m_changed = std::move(changed);
    refresh();
}

void LeaseMonitor::refresh()
{
    read([](const absl::StatusOr<LeaseTable>&) {});
    m_loop.after(std::max(refreshInterval, refreshIntervalPerDaemon * m_daemonCount), [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            refresh();
    });
}

void LeaseMonitor::read(Done done)
{
    m_platform.readAll(leaseTable, [this, done = std::move(done), alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<RowsAnswer>& answer) {
        if (alive.expired())
            return;
        if (!answer.ok())
            return done(answer.status());
        LeaseTable table;
        table.platformTime = answer->platformTime;
        for (const auto& it : answer->rows) {
            // At each read, a row that cannot be decoded counts as a lease requested just then, since its daemon may be using a
            // primary. Such a lease never expires: while the row stays the same, no change that begins later can promote a target.
            const auto lease = decodeLeaseRow(it.value);
            table.entries[InstanceId(it.key)] = { lease.ok() ? *lease : LeaseRow { "", answer->platformTime, malformedRowDuration, {}, 0 }, it.version };
        }
        applyTable(table);
        done(table);
    });
}

void LeaseMonitor::applyTable(const LeaseTable& table)
{
    uint32_t daemons = 0;
    uint32_t position = 0;
    double sessions = 0;
    double ownSessions = 0;
    bool hasOwn = false;
    m_peers.clear();
    m_recentlyRenewed.clear();
    for (const auto& [instance, entry] : table.entries) {
        if (isExpired(entry.lease, table.platformTime))
            continue;
        sessions += entry.lease.sessions;
        if (instance == m_own) {
            ownSessions = entry.lease.sessions;
            m_ownDomain = entry.lease.addresses.failureDomain;
        }
        if (instance < m_own)
            ++position;
        hasOwn = hasOwn || instance == m_own;
        if (instance != m_own && !entry.lease.addresses.host.empty())
            m_peers.push_back({ instance, entry.lease.addresses });
        ++daemons;
        // A daemon that can reach the platform normally renews at least once within half of its lease duration.
        if (table.platformTime - entry.lease.requestedAt <= entry.lease.duration * 0.5)
            m_recentlyRenewed.emplace_back(instance, entry.lease.addresses.failureDomain);
    }
    m_position = position;
    m_daemonCount = hasOwn ? daemons : daemons + 1;
    // Session counts change faster than leases are read, so they determine only part of the share.
    constexpr double equalWeight = 0.5;
    const double equalShare = 1.0 / m_daemonCount;
    m_share = sessions > 0 ? equalWeight * equalShare + (1 - equalWeight) * ownSessions / sessions : equalShare;
    if (m_changed)
        m_changed();
}

std::set<InstanceId> LeaseMonitor::votersFor(const GroupId& group) const
{
    const uint64_t seed = XXH64(group.value().data(), group.value().size(), 0);
    std::map<FailureDomainId, std::map<uint64_t, InstanceId>> byDomain;
    // Includes this daemon even if its own lease has not been read yet or was not renewed recently.
    byDomain[m_ownDomain][XXH64(m_own.value().data(), m_own.value().size(), seed)] = m_own;
    for (const auto& [instance, domain] : m_recentlyRenewed)
        byDomain[domain][XXH64(instance.value().data(), instance.value().size(), seed)] = instance;
    // Takes one daemon of each failure domain in turn, so that with three or more domains of at least three daemons each, none
    // holds a majority.
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

uint32_t LeaseMonitor::rankFor(const GroupId& group) const
{
    const uint64_t hash = XXH64(group.value().data(), group.value().size(), 0);
    return static_cast<uint32_t>((m_position + hash) % m_daemonCount);
}

}
