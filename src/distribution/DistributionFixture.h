#pragma once

#include "base/VirtualLoop.h"
#include "directory/RoutedRows.h"
#include "directory/TableWatch.h"
#include "distribution/SourceRole.h"
#include "failover/PlatformEraState.h"
#include "fleet/NodeLoop.h"
#include "leases/Epoch.h"
#include "platform_ports/FakeRows.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace parsleypaddle {

/// Table with the configuration of the tests, one row whose value is a number that grows.
inline constexpr const char* testConfigurationTable = "configuration";
inline constexpr const char* testConfigurationKey = "newest";
/// Within which a configuration must be in force, unless a test says otherwise.
inline constexpr Milliseconds testConfigurationBound { 5000 };

class DistributionDaemon;

/// Channels between the daemons of a test, by host name.
class FakePeerNetwork {
public:
    explicit FakePeerNetwork(VirtualLoop& loop)
        : m_loop(loop)
    {
    }

    std::shared_ptr<PeerChannel> connect(DistributionDaemon& from, const std::string& host, PeerChannelCallbacks);

    /// The process at this host, if it runs.
    std::map<std::string, DistributionDaemon*> processes;
    /// Hosts that are cut off from all others: what is sent to them or by them is lost, without a sign.
    std::set<std::string> silentHosts;
    /// Whether daemons that the platform does not answer call it through others.
    bool forwardsCalls { false };
    /// Bandwidth of each host's link; 0 for unlimited.
    double bytesPerSecond { 0 };
    /// Makes the present channels of a host silent for good, while new ones work.
    void silenceChannels(const std::string& host);
    /// Closes all channels of a host, as the kernel does when its process ends.
    void closeChannels(const std::string& host);
    /// Lines delivered so far, and their bytes.
    uint64_t lines { 0 };
    uint64_t bytes { 0 };

private:
    class Channel;
    struct Link;

    void deliver(const std::shared_ptr<Link>&, size_t toEnd, Milliseconds delay, std::function<void()>);
    /// Occupies a host's link with a line. Returns the time until the line has left it.
    Milliseconds occupyLink(const std::string& host, size_t bytes);

    VirtualLoop& m_loop;
    std::vector<std::weak_ptr<Link>> m_links;
    /// When each host has sent what it was given so far.
    std::map<std::string, Instant> m_sentAt;
};

/// A daemon's ways to the platform's tables: its own, and through the other daemons of a FakePeerNetwork.
class FakePathRows final : public PathRows {
public:
    FakePathRows(DistributionDaemon& daemon, PlatformRows& direct)
        : m_daemon(daemon)
        , m_direct(direct)
    {
    }

    void readAll(const Path&, const std::string& table, PlatformRows::RowsDone) override;
    void watch(const Path&, const std::string& table, RowVersion after, Milliseconds wait, PlatformRows::RowsDone) override;
    void transact(const Path&, const RowsTransaction&, PlatformRows::TransactionDone) override;

private:
    /// Makes the call over the path, and answers it with an error if that takes longer than `timeout`.
    template <typename Answer>
    void call(const Path&, Milliseconds timeout, std::function<void(absl::StatusOr<Answer>)> done, std::function<void(PlatformRows&, std::function<void(absl::StatusOr<Answer>)>)> send);

    DistributionDaemon& m_daemon;
    PlatformRows& m_direct;
};

/// One process of a daemon with the parts that read the platform and hold leases. It stops using primaries as soon as it sees that
/// a change has begun.
class DistributionDaemon final : public PeerConnector {
public:
    DistributionDaemon(VirtualLoop&, FakeTables&, FakePeerNetwork&, const std::string& name, const std::string& domain, const std::string& incarnation, uint64_t seed, Milliseconds configurationBound);
    ~DistributionDaemon() override;

    void start(bool isFirstStart);
    std::shared_ptr<PeerChannel> connect(const PeerEndpoint&, PeerChannelCallbacks) override;

    bool hasLogged(const std::string& event) const;

    FakePeerNetwork& network;
    std::string name;
    NodeLoop loop;
    FakeRows rows;
    FakePathRows pathRows;
    PlatformPathSelector paths;
    RoutedRows routedRows;
    std::vector<std::string> logLines;
    DecisionLog log;
    SharedRows sharedRows;
    InstanceLease lease;
    LeaseMonitor leaseMonitor;
    SourceService service;
    SourceRole role;
    TableWatch controlWatch;
    TableWatch configurationWatch;
    /// The newest configuration, and whether an older one was ever seen after it.
    int configuration { 0 };
    bool hasGoneBack { false };
};

/// A fleet in virtual time that starts for the first time.
class DistributionFixture {
public:
    /// `configurationBound`: within which a configuration is promised to be in force.
    DistributionFixture(size_t daemons, size_t domains, uint64_t seed = 1, Milliseconds configurationBound = testConfigurationBound);
    ~DistributionFixture();

    void run(double milliseconds) { loop.advance(Milliseconds(milliseconds)); }
    /// Ends a process without notice. With `losesPower` its channels are not closed.
    void kill(size_t daemon, bool losesPower = false);
    /// Starts a new process of an instance that was killed.
    void restart(size_t daemon);
    /// Stops a process as planned: it sends its subscribers elsewhere, and releases its lease `drain` later.
    void stop(size_t daemon, double drain = 3000);

    void writeConfiguration(int number);
    /// The platform is away for `outage` milliseconds, in which its tables return to a copy. The operator writes the newest configuration
    /// again, and the row of the era is written.
    void restorePlatform(const FakeTables::Copy&, int newestConfiguration, double outage = 1000);
    /// Begins a change of primary. Returns the version of the epoch row.
    RowVersion beginChange();
    /// Time until no daemon can use the primary any more according to the leases, or `limit`.
    Milliseconds waitForRelease(RowVersion epoch, double limit = 20'000);
    /// Number of processes, frozen ones included, that could use a primary whose change began with `epoch`.
    size_t countUsing(RowVersion epoch) const;

    std::vector<size_t> holders() const;
    std::vector<size_t> subscribersOf(size_t holder) const;
    /// A holder that has subscribers. There has to be one.
    size_t holderWithSubscribers() const;
    /// Lets the time pass and returns whether at least `expected` daemons held valid leases at every 20 ms of it.
    bool keepsLeases(double milliseconds, size_t expected);
    size_t countValidLeases() const;
    size_t countConfiguration(int number) const;
    uint64_t calls() const;
    bool hasAnyGoneBack() const;

    /// Limits the links of all daemons, those to the platform of daemons that start from now on.
    void limitLinks(double bytesPerSecond);

    VirtualLoop loop;
    FakeTables tables { loop };
    FakePeerNetwork network { loop };
    std::vector<std::unique_ptr<DistributionDaemon>> daemons;

private:
    void start(size_t daemon, bool isFirstStart);
    /// The present era, by the rows of the control table.
    PlatformEraState readEra();

    size_t m_domains;
    uint64_t m_seed;
    Milliseconds m_configurationBound;
    uint64_t m_incarnations { 0 };
    uint64_t m_callsOfEnded { 0 };
    FakeRows m_observer { loop, tables };
    /// Processes that have ended. They are kept because pending callbacks still refer to them.
    std::vector<std::unique_ptr<DistributionDaemon>> m_ended;
};

}
