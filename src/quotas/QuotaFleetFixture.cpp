#include "quotas/QuotaFleetFixture.h"

#include <algorithm>
#include <cstdio>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds stepTime { 10 };
    constexpr Milliseconds rowDuration { 6600 };
    constexpr Milliseconds window { 5000 };
    constexpr size_t holdersPerDomain = 3;
    constexpr Milliseconds replacementDelay { 1500 };

}

QuotaFleet::QuotaFleet(size_t daemonCount, size_t domainCount, uint64_t seed)
    : network(loop, seed)
    , m_domainCount(domainCount)
    , m_random(seed)
    , m_log(loop, "fleet", [](const std::string&) {})
    , m_holders(domainCount)
    , m_sentBefore(daemonCount)
{
    network.jitter = Milliseconds(1);
    for (size_t n = 0; n < daemonCount; ++n)
        m_daemons.push_back(std::make_unique<Daemon>());
    for (size_t n = 0; n < std::min(daemonCount, holdersPerDomain * domainCount); ++n)
        m_holders[domainOf(n)].push_back(n);
}

void QuotaFleet::setLoads(std::vector<Load> value)
{
    loads = std::move(value);
    m_counts.resize(loads.size());
    publishDirectory();
}

void QuotaFleet::publishDirectory()
{
    std::vector<OrganisationEntry> entries;
    for (const auto& it : loads)
        entries.push_back({ it.organisation, { "key-" + it.organisation.id.value() } });
    m_directory = *OrganisationDirectory::create(entries);
    for (auto& it : m_daemons) {
        if (it->service)
            it->service->setOrganisations(m_directory);
    }
}

void QuotaFleet::setLimit(size_t organisation, OperationLimit limit)
{
    loads[organisation].organisation.limit = limit;
    publishDirectory();
}

bool QuotaFleet::holdsRow(size_t daemon) const
{
    const auto& holders = m_holders[domainOf(daemon)];
    return std::find(holders.begin(), holders.end(), daemon) != holders.end();
}

void QuotaFleet::open(size_t daemon)
{
    Daemon& it = *m_daemons[daemon];
    ++it.generation;
    it.reads = 0;
    it.nextRead = loop.now();
    it.loop = std::make_unique<FreezableLoop>(loop);
    it.port = std::make_unique<RepeatingPort>(network, hostOf(daemon), *it.loop, m_random, repetition);
    std::set<FailureDomainId> domains;
    for (size_t n = 0; n < m_domainCount; ++n)
        domains.insert(FailureDomainId("z" + std::to_string(n)));
    it.service = std::make_unique<QuotaService>(QuotaService::Context { *it.loop, *it.port, m_log, InstanceId(hostOf(daemon)), FailureDomainId("z" + std::to_string(domainOf(daemon))), domains,
        { hostOf(daemon), 0 }, [this, daemon] { return holdsRow(daemon); }, [this, daemon] { return m_rowsUntil[daemon] > loop.now(); }, [this, daemon] { readLeases(daemon); }, m_random() });
    it.service->setOrganisations(m_directory);
    it.service->start();
}

void QuotaFleet::start()
{
    for (size_t n = 0; n < size(); ++n)
        open(n);
}

// Like LeaseMonitor: a daemon that does not reach the store keeps what it has read before.
void QuotaFleet::readLeases(size_t daemon)
{
    if (!isAlive(daemon) || !reachesStore(daemon))
        return;
    std::vector<QuotaHolder> others;
    for (const auto& [holder, until] : m_rowsUntil) {
        if (holder != daemon && until > loop.now())
            others.push_back({ InstanceId(hostOf(holder)), FailureDomainId("z" + std::to_string(domainOf(holder))), { hostOf(holder), 0 } });
    }
    m_daemons[daemon]->service->setOtherHolders(others);
}

void QuotaFleet::updateLeases()
{
    constexpr double renewalChance = 0.01;
    constexpr Milliseconds secondRead { 1500 };
    constexpr Milliseconds readInterval { 5000 };
    for (size_t domain = 0; domain < m_domainCount; ++domain) {
        for (const size_t it : m_holders[domain]) {
            const bool isDue = m_rowsUntil.count(it) == 0 || m_rowsUntil[it] <= loop.now() || std::uniform_real_distribution<double>(0, 1)(m_random) < renewalChance;
            if (isAlive(it) && !m_daemons[it]->loop->isFrozen() && reachesStore(it) && isDue)
                m_rowsUntil[it] = loop.now() + rowDuration;
        }
    }
    replaceHolders();
    for (size_t n = 0; n < size(); ++n) {
        Daemon& it = *m_daemons[n];
        if (!it.service || it.loop->isFrozen() || loop.now() < it.nextRead)
            continue;
        readLeases(n);
        it.nextRead = loop.now() + (it.reads++ == 0 ? secondRead : readInterval);
    }
}

// Another daemon of the domain becomes a holder in place of one that was killed.
void QuotaFleet::replaceHolders()
{
    for (auto it = m_killedAt.begin(); it != m_killedAt.end();) {
        if (loop.now() - it->second < replacementDelay) {
            ++it;
            continue;
        }
        auto& holders = m_holders[domainOf(it->first)];
        auto old = std::find(holders.begin(), holders.end(), it->first);
        for (size_t n = domainOf(it->first); old != holders.end() && n < size(); n += m_domainCount) {
            if (!isAlive(n) || holdsRow(n))
                continue;
            *old = n;
            m_rowsUntil[n] = loop.now() + rowDuration;
            readLeases(n);
            break;
        }
        it = m_killedAt.erase(it);
    }
}

void QuotaFleet::kill(size_t daemon)
{
    Daemon& it = *m_daemons[daemon];
    m_sentBefore[daemon] = {};
    it.service.reset();
    it.port.reset();
    it.loop.reset();
    if (holdsRow(daemon))
        m_killedAt[daemon] = loop.now();
}

void QuotaFleet::restart(size_t daemon)
{
    m_killedAt.erase(daemon);
    open(daemon);
}

void QuotaFleet::cut(size_t domain)
{
    m_cutDomain = domain;
    for (size_t n = 0; n < size(); ++n) {
        for (size_t other = 0; domainOf(n) == domain && other < size(); ++other) {
            if (domainOf(other) != domain)
                network.cut(hostOf(n), hostOf(other));
        }
    }
}

void QuotaFleet::heal()
{
    m_cutDomain = SIZE_MAX;
    network.healAll();
}

std::optional<size_t> QuotaFleet::coordinatorOf(size_t domain) const
{
    std::optional<size_t> found;
    for (const size_t it : m_holders[domain]) {
        if (!isAlive(it) || !m_daemons[it]->service->coordinator().isActing())
            continue;
        if (found)
            return std::nullopt;
        found = it;
    }
    return found;
}

void QuotaFleet::callOnce(size_t organisation)
{
    const auto& load = loads[organisation];
    const size_t daemon = load.daemons[m_random() % load.daemons.size()];
    if (!isAlive(daemon) || m_daemons[daemon]->loop->isFrozen())
        return;
    Count& called = m_counts[organisation];
    const OperationLimit& one = load.organisation.limit;
    called.bucket = called.filledAt == Instant() ? one.burst : std::min(one.burst, called.bucket + one.perSecond * (loop.now() - called.filledAt).count() / 1000);
    called.filledAt = loop.now();
    if (called.bucket >= 1)
        called.bucket -= 1;
    else
        ++called.refusedByOneBucket;
    m_daemons[daemon]->service->quota().admit(load.organisation.id, [this, organisation](const QuotaDecision& it) {
        Count& count = m_counts[organisation];
        if (!it.isAdmitted) {
            ++count.refused;
            return;
        }
        ++count.admitted;
        count.window.push_back(loop.now());
        while (loop.now() - count.window.front() >= window)
            count.window.pop_front();
        const OperationLimit& limit = loads[organisation].organisation.limit;
        constexpr double overage = 1.1;
        constexpr double tolerance = 20;
        const double allowed = (limit.perSecond * window.count() / 1000 + limit.burst) * overage + tolerance;
        count.worst = std::max(count.worst, static_cast<double>(count.window.size()) / allowed);
    });
}

void QuotaFleet::step()
{
    updateLeases();
    for (size_t n = 0; n < loads.size(); ++n) {
        std::poisson_distribution<int> calls(loads[n].offered * stepTime.count() / 1000);
        for (int left = loads[n].offered > 0 && !loads[n].daemons.empty() ? calls(m_random) : 0; left > 0; --left)
            callOnce(n);
    }
    loop.advance(stepTime);
}

void QuotaFleet::run(Milliseconds time)
{
    for (const Instant end = loop.now() + time; loop.now() < end;)
        step();
}

void QuotaFleet::resetCounts()
{
    for (auto& it : m_counts) {
        it.admitted = 0;
        it.refused = 0;
        it.refusedByOneBucket = 0;
        it.worst = 0;
    }
    m_countedSince = loop.now();
    for (size_t n = 0; n < size(); ++n)
        m_sentBefore[n] = isAlive(n) ? std::pair(m_daemons[n]->port->datagrams, m_daemons[n]->port->bytes) : std::pair<uint64_t, uint64_t>();
}

double QuotaFleet::worst() const
{
    double worst = 0;
    for (const auto& it : m_counts)
        worst = std::max(worst, it.worst);
    return worst;
}

double QuotaFleet::printTraffic(const std::string& title) const
{
    const double seconds = (loop.now() - m_countedSince).count() / 1000;
    double datagrams = 0;
    double bytes = 0;
    double most = 0;
    for (size_t n = 0; n < size(); ++n) {
        if (!isAlive(n))
            continue;
        const auto& [datagramsBefore, bytesBefore] = m_sentBefore[n];
        const double sent = static_cast<double>(m_daemons[n]->port->bytes - bytesBefore);
        datagrams += static_cast<double>(m_daemons[n]->port->datagrams - datagramsBefore);
        bytes += sent;
        most = std::max(most, sent);
    }
    const double count = static_cast<double>(size()) * seconds;
    std::printf("%s: %zu daemons, fleet %.0f datagrams/s %.1f KB/s; per daemon %.2f datagrams/s %.3f KB/s; busiest %.2f KB/s\n", title.c_str(), size(), datagrams / seconds, bytes / seconds / 1000,
        datagrams / count, bytes / count / 1000, most / seconds / 1000);
    return most / seconds;
}

}
