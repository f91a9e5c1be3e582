#include "distribution/DistributionFixture.h"

#include "base/ResultCode.h"
#include "directory/WatchTimes.h"

#include <algorithm>
#include <stdexcept>

namespace parsleypaddle {

namespace {

    constexpr const char* platformHost = "platform";
    constexpr Milliseconds hopDelay { 1 };

    PlatformEraState eraOf(const TableWatch::Rows& rows, RowVersion asOf)
    {
        PlatformEraState state { asOf.era(), std::nullopt, Instant() };
        auto it = rows.find(eraKey(asOf.era()));
        if (const auto row = it == rows.end() ? absl::NotFoundError("no row") : decodeEraRow(it->second); row.ok())
            state.row = *row;
        return state;
    }

}

// The answer is lost if the process that forwards it ends.
template <typename Answer>
void FakePathRows::call(const Path& path, Milliseconds timeout, std::function<void(absl::StatusOr<Answer>)> done, std::function<void(PlatformRows&, std::function<void(absl::StatusOr<Answer>)>)> send)
{
    if (path.isDirect)
        return send(m_direct, std::move(done));
    const auto pending = std::make_shared<std::function<void(absl::StatusOr<Answer>)>>(std::move(done));
    const auto finish = [pending](const absl::StatusOr<Answer>& answer) {
        if (const auto function = std::exchange(*pending, nullptr))
            function(answer);
    };
    const absl::Status lost = makeError(ResultCode::PlatformUnavailable, "no answer");
    const std::string host = path.address.host;
    const bool isSilent = m_daemon.network.silentHosts.count(host) > 0 || m_daemon.network.silentHosts.count(m_daemon.name) > 0;
    m_daemon.loop.after(timeout, [finish, lost] { finish(lost); });
    if (isSilent)
        return;
    m_daemon.loop.after(hopDelay, [this, host, finish, lost, send = std::move(send)] {
        auto it = m_daemon.network.processes.find(host);
        if (it == m_daemon.network.processes.end())
            return finish(lost);
        it->second->loop.run([this, &forwarder = *it->second, finish, send] {
            send(forwarder.rows, [this, finish](const absl::StatusOr<Answer>& answer) { m_daemon.loop.after(hopDelay, [finish, answer] { finish(answer); }); });
        });
    });
}

void FakePathRows::readAll(const Path& path, const std::string& table, PlatformRows::RowsDone done)
{
    call<RowsAnswer>(path, platformCallTimeout, std::move(done), [table](PlatformRows& rows, PlatformRows::RowsDone answered) { rows.readAll(table, std::move(answered)); });
}

void FakePathRows::watch(const Path& path, const std::string& table, RowVersion after, Milliseconds wait, PlatformRows::RowsDone done)
{
    call<RowsAnswer>(path, wait + platformCallTimeout, std::move(done), [table, after, wait](PlatformRows& rows, PlatformRows::RowsDone answered) { rows.watch(table, after, wait, std::move(answered)); });
}

void FakePathRows::transact(const Path& path, const RowsTransaction& transaction, PlatformRows::TransactionDone done)
{
    call<TransactionAnswer>(path, platformCallTimeout, std::move(done), [transaction](PlatformRows& rows, PlatformRows::TransactionDone answered) { rows.transact(transaction, std::move(answered)); });
}

DistributionDaemon::DistributionDaemon(VirtualLoop& shared, FakeTables& tables, FakePeerNetwork& network, const std::string& name, const std::string& domain, const std::string& incarnation, uint64_t seed, Milliseconds configurationBound)
    : network(network)
    , name(name)
    , loop(shared)
    , rows(loop, tables)
    , pathRows(*this, rows)
    , paths({ platformHost, 0 }, seed)
    , routedRows(loop, pathRows, paths)
    , log(loop, name, [this](const std::string& line) { logLines.push_back(line); })
    , sharedRows(loop, routedRows, log, testConfigurationTable, { controlTable, leaseTable })
    , lease(loop, routedRows, InstanceId(name), incarnation, { FailureDomainId(domain), name, 1, 2, 3, 0.12 })
    , leaseMonitor(loop, routedRows, sharedRows, InstanceId(name))
    , service(loop, sharedRows, lease, log)
    , role({ loop, leaseMonitor, lease, sharedRows, service, *this, log, [] { return true; }, configurationBound }, seed)
    , controlWatch(
          loop, sharedRows, controlTable, Milliseconds(7500), [this](const TableWatch::Rows& it) {
              const PlatformEraState era = eraOf(it, controlWatch.version());
              auto epoch = it.find(epochKey);
              const RowVersion version = epoch == it.end() ? RowVersion(era.era, 0) : epoch->second.version;
              lease.confirmEpoch(version, era.isPresent(version) ? InstanceLease::EpochOrigin::PresentEra : InstanceLease::EpochOrigin::Copy); },
          [](const absl::Status&) {})
    , configurationWatch(
          loop, sharedRows, testConfigurationTable, watchHoldTime(configurationBound), [this](const TableWatch::Rows& it) {
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
    routedRows.onReachedAgain([this](Instant sent) {
        controlWatch.replaceOlderRequest(sent);
        configurationWatch.replaceOlderRequest(sent);
    });
}

DistributionDaemon::~DistributionDaemon() = default;

void DistributionDaemon::start(bool isFirstStart)
{
    leaseMonitor.start([this] {
        std::vector<TargetAddress> forwarders;
        for (const auto& it : leaseMonitor.peers())
            forwarders.push_back({ it.addresses.host, it.addresses.platformProxyPort });
        if (network.forwardsCalls)
            paths.setPeers(std::move(forwarders));
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

DistributionFixture::DistributionFixture(size_t n, size_t domains, uint64_t seed, Milliseconds configurationBound)
    : m_domains(domains)
    , m_seed(seed)
    , m_configurationBound(configurationBound)
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
    daemons[daemon] = std::make_unique<DistributionDaemon>(loop, tables, network, name, domain, std::to_string(incarnation), m_seed * 100'000 + incarnation, m_configurationBound);
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

size_t DistributionFixture::holderWithSubscribers() const
{
    for (const size_t it : holders()) {
        if (!subscribersOf(it).empty())
            return it;
    }
    throw std::logic_error("no holder has subscribers");
}

bool DistributionFixture::keepsLeases(double milliseconds, size_t expected)
{
    bool areValid = true;
    for (double it = 0; it < milliseconds; it += 20) {
        run(20);
        areValid = areValid && countValidLeases() >= expected;
    }
    return areValid;
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
