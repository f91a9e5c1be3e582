#include "distribution/DistributionFixture.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds lineDelay { 0.3 };
    /// Interval at which parts of a long line arrive.
    constexpr Milliseconds partInterval { 100 };

    PlatformEraState eraOf(const TableWatch::Rows& rows, RowVersion asOf)
    {
        PlatformEraState state { asOf.era(), std::nullopt, Instant() };
        auto it = rows.find(eraKey(asOf.era()));
        if (const auto row = it == rows.end() ? absl::NotFoundError("no row") : decodeEraRow(it->second); row.ok())
            state.row = *row;
        return state;
    }

}

/// Both ends of a channel.
struct FakePeerNetwork::Link {
    struct End {
        DistributionDaemon* process { nullptr };
        std::string host;
        PeerChannelCallbacks callbacks;
    };
    End ends[2];
    bool isOpen { true };
    bool isSilent { false };
};

class FakePeerNetwork::Channel final : public PeerChannel {
public:
    Channel(FakePeerNetwork& network, std::shared_ptr<Link> link, size_t ownEnd)
        : m_network(network)
        , m_link(std::move(link))
        , m_ownEnd(ownEnd)
    {
    }

    void send(const std::string& line) override
    {
        const size_t other = 1 - m_ownEnd;
        const Milliseconds duration = m_network.occupyLink(m_link->ends[m_ownEnd].host, line.size());
        for (Milliseconds it = partInterval; it < duration; it = it + partInterval)
            m_network.deliver(m_link, other, it, [&link = *m_link, other] {
                if (link.ends[other].callbacks.onReceived)
                    link.ends[other].callbacks.onReceived();
            });
        m_network.deliver(m_link, other, duration, [&network = m_network, &link = *m_link, toEnd = other, line] {
            ++network.lines;
            network.bytes += line.size() + 1;
            link.ends[toEnd].callbacks.onLine(line);
        });
    }

    void close() override
    {
        m_network.deliver(m_link, 1 - m_ownEnd, Milliseconds(0), [link = m_link, toEnd = 1 - m_ownEnd] {
            link->isOpen = false;
            link->ends[toEnd].callbacks.onClose();
        });
    }

private:
    FakePeerNetwork& m_network;
    std::shared_ptr<Link> m_link;
    size_t m_ownEnd;
};

Milliseconds FakePeerNetwork::occupyLink(const std::string& host, size_t bytes)
{
    if (bytesPerSecond == 0)
        return Milliseconds(0);
    constexpr double millisecondsPerSecond = 1000;
    Instant& sentAt = m_sentAt[host];
    sentAt = std::max(sentAt, m_loop.now()) + Milliseconds(static_cast<double>(bytes) / bytesPerSecond * millisecondsPerSecond);
    return sentAt - m_loop.now();
}

void FakePeerNetwork::deliver(const std::shared_ptr<Link>& link, size_t toEnd, Milliseconds delay, std::function<void()> task)
{
    const auto isLost = [this, link] { return link->isSilent || silentHosts.count(link->ends[0].host) > 0 || silentHosts.count(link->ends[1].host) > 0; };
    if (isLost())
        return;
    m_loop.after(lineDelay + delay, [link, toEnd, isLost, task = std::move(task)] {
        if (isLost() || link->ends[toEnd].process->loop.isStopped())
            return;
        link->ends[toEnd].process->loop.run([link, task] {
            if (link->isOpen)
                task();
        });
    });
}

std::shared_ptr<PeerChannel> FakePeerNetwork::connect(DistributionDaemon& from, const std::string& host, PeerChannelCallbacks callbacks)
{
    auto link = std::make_shared<Link>();
    link->ends[0] = { &from, from.name, std::move(callbacks) };
    link->ends[1].host = host;
    m_links.push_back(link);
    const bool isLost = silentHosts.count(host) > 0 || silentHosts.count(from.name) > 0;
    auto it = processes.find(host);
    if (it == processes.end()) {
        link->ends[1].process = &from;
        link->ends[1].callbacks = { [](std::string_view) {}, [] {} };
        if (!isLost)
            m_loop.after(lineDelay, [link] { link->ends[0].process->loop.run([link] {
                                                 if (std::exchange(link->isOpen, false))
                                                     link->ends[0].callbacks.onClose();
                                             }); });
    } else {
        link->ends[1].process = it->second;
        link->ends[1].callbacks = it->second->service.accept(std::make_shared<Channel>(*this, link, 1));
    }
    return std::make_shared<Channel>(*this, link, 0);
}

void FakePeerNetwork::silenceChannels(const std::string& host)
{
    for (const auto& weak : m_links) {
        auto link = weak.lock();
        if (link && (link->ends[0].host == host || link->ends[1].host == host))
            link->isSilent = true;
    }
}

void FakePeerNetwork::closeChannels(const std::string& host)
{
    for (const auto& weak : m_links) {
        auto link = weak.lock();
        if (!link || !link->isOpen)
            continue;
        for (const size_t end : { 0U, 1U }) {
            if (link->ends[end].host == host)
                deliver(link, 1 - end, Milliseconds(0), [link, other = 1 - end] {
                    link->isOpen = false;
                    link->ends[other].callbacks.onClose();
                });
        }
    }
}

DistributionDaemon::DistributionDaemon(VirtualLoop& shared, FakeTables& tables, FakePeerNetwork& network, const std::string& name, const std::string& domain, const std::string& incarnation, uint64_t seed)
    : network(network)
    , name(name)
    , loop(shared)
    , rows(loop, tables)
    , log(loop, name, [this](const std::string& line) { logLines.push_back(line); })
    , sharedRows(loop, rows, log, { testConfigurationTable, controlTable, leaseTable })
    , lease(loop, rows, InstanceId(name), incarnation, { FailureDomainId(domain), name, 1, 2, 3, 0.12 })
    , leaseMonitor(loop, rows, sharedRows, InstanceId(name))
    , service(loop, sharedRows, lease, log)
    , role({ loop, leaseMonitor, lease, sharedRows, service, *this, log, [] { return true; } }, seed)
    , controlWatch(
          loop, sharedRows, controlTable, Milliseconds(7500), [this](const TableWatch::Rows& it) {
              const PlatformEraState era = eraOf(it, controlWatch.version());
              auto epoch = it.find(epochKey);
              const RowVersion version = epoch == it.end() ? RowVersion(era.era, 0) : epoch->second.version;
              lease.confirmEpoch(version, era.isPresent(version) ? InstanceLease::EpochOrigin::PresentEra : InstanceLease::EpochOrigin::Copy); },
          [](const absl::Status&) {})
    , configurationWatch(
          loop, sharedRows, testConfigurationTable, Milliseconds(7500), [this](const TableWatch::Rows& it) {
              auto newest = it.find(testConfigurationKey);
              const int number = newest == it.end() ? 0 : std::stoi(newest->second.value);
              hasGoneBack = hasGoneBack || number < configuration;
              configuration = number; },
          [](const absl::Status&) {})
{
    rows.onEraChanged([this](PlatformEra era) {
        if (!sharedRows.isUsingPlatform())
            return;
        controlWatch.beginEra(era);
        configurationWatch.beginEra(era);
    });
    rows.onReachedAgain([this](Instant sent) {
        controlWatch.replaceOlderRequest(sent);
        configurationWatch.replaceOlderRequest(sent);
    });
}

DistributionDaemon::~DistributionDaemon() = default;

void DistributionDaemon::start(bool isFirstStart)
{
    leaseMonitor.start([this] {
        lease.setHolderCount(leaseMonitor.holderCount());
        role.reconsider();
    });
    role.start(isFirstStart);
    controlWatch.start();
    configurationWatch.start();
}

std::shared_ptr<PeerChannel> DistributionDaemon::connect(const PeerEndpoint& peer, PeerChannelCallbacks callbacks)
{
    return network.connect(*this, peer.host, std::move(callbacks));
}

bool DistributionDaemon::hasLogged(const std::string& event) const
{
    return std::any_of(logLines.begin(), logLines.end(), [&event](const std::string& it) { return it.find("\"" + event + "\"") != std::string::npos; });
}

DistributionFixture::DistributionFixture(size_t n, size_t domains, uint64_t seed)
    : m_domains(domains)
    , m_seed(seed)
{
    tables.put(controlTable, epochKey, "first");
    writeConfiguration(1);
    daemons.resize(n);
    for (size_t it = 0; it < n; ++it)
        start(it, true);
    run(10'000);
}

DistributionFixture::~DistributionFixture()
{
    for (auto& it : daemons) {
        if (it)
            it->loop.stop();
    }
}

void DistributionFixture::start(size_t daemon, bool isFirstStart)
{
    const std::string name = "daemon-" + std::to_string(daemon);
    const std::string domain = "domain-" + std::to_string(daemon % m_domains);
    const uint64_t incarnation = ++m_incarnations;
    daemons[daemon] = std::make_unique<DistributionDaemon>(loop, tables, network, name, domain, std::to_string(incarnation), m_seed * 100'000 + incarnation);
    daemons[daemon]->rows.bytesPerSecond = network.bytesPerSecond;
    network.processes[name] = daemons[daemon].get();
    daemons[daemon]->start(isFirstStart);
}

void DistributionFixture::kill(size_t daemon, bool losesPower)
{
    auto process = std::exchange(daemons[daemon], nullptr);
    if (!process)
        return;
    network.processes.erase(process->name);
    process->loop.stop();
    if (losesPower)
        network.silenceChannels(process->name);
    else
        network.closeChannels(process->name);
    m_callsOfEnded += process->rows.calls;
    m_ended.push_back(std::move(process));
}

void DistributionFixture::restart(size_t daemon)
{
    if (!daemons[daemon])
        start(daemon, false);
}

void DistributionFixture::stop(size_t daemon, double drain)
{
    daemons[daemon]->role.stopServing();
    run(drain);
    bool isReleased = false;
    daemons[daemon]->lease.release([&isReleased] { isReleased = true; });
    daemons[daemon]->role.leave();
    run(10);
    kill(daemon);
}

void DistributionFixture::writeConfiguration(int number)
{
    tables.put(testConfigurationTable, testConfigurationKey, std::to_string(number));
}

void DistributionFixture::restorePlatform(const FakeTables::Copy& copy, int newestConfiguration, double outage)
{
    std::vector<DistributionDaemon*> reached;
    for (auto& it : daemons) {
        if (it && !std::exchange(it->rows.isCut, true))
            reached.push_back(it.get());
    }
    run(outage);
    tables.restore(copy);
    writeConfiguration(newestConfiguration);
    m_observer.readAll(controlTable, [this](const absl::StatusOr<RowsAnswer>& answer) { tables.put(controlTable, eraKey(answer->version.era()), encodeEraRow(answer->platformTime)); });
    run(5);
    for (DistributionDaemon* it : reached)
        it->rows.isCut = false;
}

PlatformEraState DistributionFixture::readEra()
{
    PlatformEraState state;
    m_observer.readAll(controlTable, [&state](const absl::StatusOr<RowsAnswer>& answer) {
        TableWatch::Rows rows;
        for (const auto& it : answer->rows)
            rows[it.key] = it;
        state = eraOf(rows, answer->version);
    });
    run(5);
    return state;
}

void DistributionFixture::limitLinks(double bytesPerSecond)
{
    network.bytesPerSecond = bytesPerSecond;
}

RowVersion DistributionFixture::beginChange()
{
    tables.put(controlTable, epochKey, "next");
    RowVersion epoch;
    m_observer.readAll(controlTable, [&epoch](const absl::StatusOr<RowsAnswer>& answer) {
        for (const auto& it : answer->rows) {
            if (it.key == epochKey)
                epoch = it.version;
        }
    });
    run(5);
    return epoch;
}

size_t DistributionFixture::countUsing(RowVersion epoch) const
{
    return static_cast<size_t>(std::count_if(daemons.begin(), daemons.end(), [epoch](const auto& it) {
        return it && it->lease.isValid() && it->lease.confirmedEpoch() < epoch;
    }));
}

Milliseconds DistributionFixture::waitForRelease(RowVersion epoch, double limit)
{
    const Instant begin = loop.now();
    LeaseMonitor monitor(loop, m_observer, m_observer, InstanceId("observer"));
    bool isReleased = false;
    const PlatformEraState era = readEra();
    while (!isReleased && loop.now() < begin + Milliseconds(limit)) {
        monitor.read([&](const absl::StatusOr<LeaseTable>& table) { isReleased = table.ok() && table->isReleasedByAll(epoch) && era.isSettled(table->platformTime); });
        run(10);
    }
    return loop.now() - begin;
}

std::vector<size_t> DistributionFixture::holders() const
{
    std::vector<size_t> result;
    for (size_t it = 0; it < daemons.size(); ++it) {
        if (daemons[it] && daemons[it]->role.isHolder())
            result.push_back(it);
    }
    return result;
}

std::vector<size_t> DistributionFixture::subscribersOf(size_t holder) const
{
    const std::string* value = tables.find(leaseTable, leaseKey(InstanceId("daemon-" + std::to_string(holder))));
    std::vector<size_t> result;
    if (!value)
        return result;
    const auto row = decodeLeaseRow(*value);
    if (!row.ok())
        return result;
    const std::string prefix = "daemon-";
    for (const auto& it : row->members)
        result.push_back(std::stoul(it.instance.value().substr(prefix.size())));
    return result;
}

size_t DistributionFixture::countValidLeases() const
{
    return static_cast<size_t>(std::count_if(daemons.begin(), daemons.end(), [](const auto& it) { return it && it->lease.isValid(); }));
}

size_t DistributionFixture::countConfiguration(int number) const
{
    return static_cast<size_t>(std::count_if(daemons.begin(), daemons.end(), [number](const auto& it) { return it && it->configuration == number; }));
}

uint64_t DistributionFixture::calls() const
{
    uint64_t n = m_callsOfEnded;
    for (const auto& it : daemons)
        n += it ? it->rows.calls : 0;
    return n;
}

bool DistributionFixture::hasAnyGoneBack() const
{
    return std::any_of(daemons.begin(), daemons.end(), [](const auto& it) { return it && it->hasGoneBack; });
}

}
