#include "failover/LeaseMonitor.h"

#include <algorithm>
#include <xxhash.h>

namespace parsleypaddle {

namespace {

    /// The number of daemons changes rarely, and a share that is outdated for some seconds only shifts connections between
    /// daemons.
    constexpr Milliseconds refreshInterval { 5000 };
    /// Delay before the second read. When a whole fleet starts, the first one finds few leases, and ranks depend on all of them.
    constexpr Milliseconds secondReadDelay { 1500 };
    /// With many holders each of them reads less often, since every read returns all rows.
    constexpr Milliseconds refreshIntervalPerHolder { 500 };
    /// After the platform has returned from a copy, all holders that reach it renew their leases in this time.
    constexpr Milliseconds renewalPeriod { 2500 };
    /// Every recorded suspicion is delivered to all daemons that watch the control table, so the number of
    /// voters is limited.
    constexpr size_t maxVoters = 9;
    /// Duration given to a lease whose row cannot be decoded: longer than any duration that a daemon writes.
    constexpr Milliseconds malformedRowDuration { 30'000 };

}

bool LeaseTable::isReleasedByAll(RowVersion epoch) const
{
    return version.era() == epoch.era() && std::none_of(entries.begin(), entries.end(), [&](const Entry& it) { return it.version <= epoch && !isExpired(it.lease, platformTime); });
}

bool LeaseTable::hasValidLease(const InstanceId& instance, const std::string& incarnation) const
{
    return std::any_of(entries.begin(), entries.end(), [&](const Entry& it) {
        return it.instance == instance && it.lease.incarnation == incarnation && !isExpired(it.lease, platformTime);
    });
}

LeaseMonitor::LeaseMonitor(EventLoop& loop, PlatformRows& platform, PlatformRows& recent, InstanceId own)
    : m_loop(loop)
    , m_platform(platform)
    , m_recent(recent)
    , m_own(std::move(own))
{
}

void LeaseMonitor::start(std::function<void()> changed)
{
    m_changed = std::move(changed);
    readFrom(m_recent, [](const absl::StatusOr<LeaseTable>&) {});
    m_loop.after(secondReadDelay, [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            refresh();
    });
}

void LeaseMonitor::refresh()
{
    readFrom(m_recent, [](const absl::StatusOr<LeaseTable>&) {});
    m_loop.after(std::max(refreshInterval, refreshIntervalPerHolder * m_holderCount), [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            refresh();
    });
}

void LeaseMonitor::read(Done done)
{
    readFrom(m_platform, std::move(done));
}

void LeaseMonitor::readFrom(PlatformRows& platform, Done done)
{
    platform.readAll(leaseTable, [this, done = std::move(done), alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<RowsAnswer>& answer) {
        if (alive.expired())
            return;
        if (!answer.ok())
            return done(answer.status());
        LeaseTable table;
        table.version = answer->version;
        table.platformTime = answer->platformTime;
        for (const auto& it : answer->rows) {
            const auto lease = decodeLeaseRow(it.value);
            table.entries.push_back({ leaseInstance(it.key), lease.ok() ? *lease : malformedLease(it, answer->platformTime), it.version, it.key });
        }
        noteEra(table.version.era());
        if (m_loop.now() >= m_keptUntil)
            applyTable(table);
        done(table);
    });
}

// The daemon of a row that cannot be decoded may be using a primary. If it lives it renews the row, so the lease counts from the first time
// that this daemon has read this version of the row.
LeaseRow LeaseMonitor::malformedLease(const StoredRow& row, Instant platformTime)
{
    auto& known = m_malformed[row.key];
    if (known.version != row.version)
        known = { row.version, platformTime };
    return { "", known.since, malformedRowDuration, {}, 0 };
}

void LeaseMonitor::noteEra(PlatformEra era)
{
    if (era <= m_era)
        return;
    const bool isFirstKnown = m_era == PlatformEra();
    m_era = era;
    if (isFirstKnown)
        return;
    m_keptUntil = m_loop.now() + renewalPeriod;
    m_loop.after(renewalPeriod, [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            readFrom(m_recent, [](const absl::StatusOr<LeaseTable>&) {});
    });
}

void LeaseMonitor::applyTable(const LeaseTable& table)
{
    std::map<InstanceId, Peer> peers;
    for (const auto& entry : table.entries) {
        if (isExpired(entry.lease, table.platformTime))
            continue;
        for (const auto& it : entry.lease.members)
            peers.try_emplace(it.instance, Peer { it.instance, it.addresses, false });
        peers[entry.instance] = { entry.instance, entry.lease.addresses, true };
    }
    m_daemonCount = static_cast<uint32_t>(peers.size() + (peers.count(m_own) == 0 ? 1 : 0));
    m_peers.clear();
    for (auto& [instance, peer] : peers) {
        if (instance != m_own && !peer.addresses.host.empty())
            m_peers.push_back(std::move(peer));
    }
    applyHolders(table);
    applySessions(table);
    if (m_changed)
        m_changed();
}

void LeaseMonitor::applyHolders(const LeaseTable& table)
{
    std::set<InstanceId> others;
    m_recentlyRenewed.clear();
    for (const auto& entry : table.entries) {
        if (entry.instance == m_own)
            m_ownDomain = entry.lease.addresses.failureDomain;
        if (entry.instance == m_own || isExpired(entry.lease, table.platformTime))
            continue;
        others.insert(entry.instance);
        // A daemon that can reach the platform normally renews at least once within half of its lease duration.
        if (table.platformTime - entry.lease.requestedAt <= entry.lease.duration * 0.5)
            m_recentlyRenewed.emplace_back(entry.instance, entry.lease.addresses.failureDomain);
    }
    m_position = static_cast<uint32_t>(std::distance(others.begin(), others.lower_bound(m_own)));
    m_holderCount = static_cast<uint32_t>(others.size()) + (m_ownHoldsRow ? 1 : 0);
}

void LeaseMonitor::applySessions(const LeaseTable& table)
{
    double sessions = 0;
    double ownSessions = 0;
    const auto count = [&](const InstanceId& instance, uint32_t n) {
        sessions += n;
        if (instance == m_own)
            ownSessions = n;
    };
    for (const auto& entry : table.entries) {
        if (isExpired(entry.lease, table.platformTime))
            continue;
        count(entry.instance, entry.lease.sessions);
        for (const auto& it : entry.lease.members)
            count(it.instance, it.sessions);
    }
    // Session counts change faster than leases are read, so they determine only part of the share.
    constexpr double equalWeight = 0.5;
    const double equalShare = 1.0 / m_daemonCount;
    m_share = sessions > 0 ? equalWeight * equalShare + (1 - equalWeight) * ownSessions / sessions : equalShare;
}

std::set<InstanceId> LeaseMonitor::votersFor(const GroupId& group) const
{
    const uint64_t seed = XXH64(group.value().data(), group.value().size(), 0);
    std::map<FailureDomainId, std::map<uint64_t, InstanceId>> byDomain;
    // Includes this daemon even if its own lease has not been read yet or was not renewed recently.
    if (m_ownHoldsRow)
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
    return static_cast<uint32_t>((m_position + hash) % std::max(m_holderCount, 1U));
}

}
