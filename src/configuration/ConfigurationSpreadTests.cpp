#include "configuration/ConfigurationStore.h"

#include "configuration/ConfigurationYaml.h"
#include "configuration/StoreFleet.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>

using namespace parsleypaddle;

namespace {

struct Spread {
    double seconds { 0 };
    double digestBytes { 0 };
    double bodiesPerDaemon { 0 };
    double platformReads { 0 };
    double platformWrites { 0 };
};

// One change on a running fleet: how long until it is in force everywhere, and what a quiet second costs.
Spread measureSpread(size_t daemons, uint64_t seed, const ConfigurationStoreSettings& settings, bool isPlatformDownAfter)
{
    StoreFleet fleet(seed, settings);
    fleet.add(daemons);
    const auto apply = [&fleet](uint64_t base, const std::string& document) {
        bool isAccepted = false;
        fleet.store(0).apply(ConfigurationVersion(base), document, "operator", [&isAccepted](const auto& version) { isAccepted = version.ok(); });
        REQUIRE(fleet.loop.runUntil([&isAccepted] { return isAccepted; }, Milliseconds(10'000)));
    };
    apply(0, "defaults: {deadline: 1s}");
    fleet.loop.advance(Milliseconds(30'000));
    REQUIRE(fleet.isEverywhere(ConfigurationVersion(1)));

    const Milliseconds quiet(20'000);
    const double daemonSeconds = quiet.count() / 1000 * static_cast<double>(daemons);
    const auto trafficBefore = fleet.traffic;
    const auto countsBefore = fleet.platform.counts();
    fleet.loop.advance(quiet);
    Spread spread;
    spread.digestBytes = static_cast<double>(fleet.traffic.digestBytes - trafficBefore.digestBytes) / daemonSeconds;
    spread.platformReads = static_cast<double>(fleet.platform.counts().reads - countsBefore.reads) / (quiet.count() / 1000);

    const auto bodiesBefore = fleet.traffic.bodies;
    const auto writesBefore = fleet.platform.counts().writes;
    apply(1, "defaults: {deadline: 2s}");
    const Instant acceptedAt = fleet.loop.now();
    fleet.platform.setDown(isPlatformDownAfter);
    CHECK(fleet.loop.runUntil([&fleet] { return fleet.isEverywhere(ConfigurationVersion(2)); }, Milliseconds(9000)));
    spread.seconds = (fleet.loop.now() - acceptedAt).count() / 1000;
    spread.bodiesPerDaemon = static_cast<double>(fleet.traffic.bodies - bodiesBefore) / static_cast<double>(daemons);
    spread.platformWrites = static_cast<double>(fleet.platform.counts().writes - writesBefore);
    return spread;
}

void print(size_t daemons, const char* way, const Spread& worst)
{
    std::cout << "spread: " << daemons << " daemons, " << way << ": " << worst.seconds << " s and rounds at worst, digests "
              << worst.digestBytes << " B/s a daemon, bodies from peers " << worst.bodiesPerDaemon << " a daemon, platform "
              << worst.platformReads << " reads/s in all, " << worst.platformWrites << " writes a change\n";
}

// A configuration of that many groups of three targets.
std::string documentOf(size_t groups)
{
    Configuration configuration;
    for (size_t n = 0; n < groups; ++n) {
        GroupConfiguration group { DatabaseId("fitting-" + std::to_string(n)), 5, 35, {} };
        for (const char* it : { "a", "b", "c" }) {
            const std::string host = "10." + std::to_string(n / 250) + "." + std::to_string(n % 250) + "." + std::to_string(it[0]);
            group.targets.push_back({ TargetId(group.database.value() + it), { host, 5432 }, FailureDomainId("plateau") });
        }
        configuration.groups.push_back(group);
    }
    return writeConfiguration(configuration);
}

}

TEST_CASE("the configuration of 570 groups spreads within a daemon's bytes for control", "[configuration]")
{
    const size_t groups = GENERATE(9, 114, 570);
    StoreFleet fleet(1);
    fleet.add(1);
    bool isAccepted = false;
    fleet.store(0).apply({}, documentOf(groups), "operator", [&isAccepted](const auto& version) { isAccepted = version.ok(); });
    fleet.loop.advance(Milliseconds(100));
    REQUIRE(isAccepted);
    const size_t bytes = fleet.store(0).answerFetch(ConfigurationVersion(1)).value().size();
    fleet.add(1);
    const auto start = std::chrono::steady_clock::now();
    REQUIRE(fleet.loop.runUntil([&fleet] { return fleet.isEverywhere(ConfigurationVersion(1)); }, Milliseconds(9000)));
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - start;

    // Each daemon takes a body and gives one on, on average, for each of the day's changes, besides its digests.
    const double changesPerSecond = 1200.0 / 86'400;
    const double bodies = 2 * static_cast<double>(bytes) * changesPerSecond;
    std::cout << "configuration of " << groups << " groups: body " << bytes << " bytes, " << bodies
              << " B/s a daemon at 1,200 changes a day, taken into force in " << took.count() << " ms of processor time\n";
    const double bytesForControl = 11'000;
    CHECK(bodies < bytesForControl);
}

TEST_CASE("a change is in force on every daemon within nine seconds, at each size of the fleet", "[configuration]")
{
    const size_t daemons = GENERATE(3, 9, 46, 460);
    const bool isPlatformDownAfter = GENERATE(false, true);
    const uint32_t promptPeers = GENERATE(0, 1);
    ConfigurationStoreSettings settings;
    settings.promptPeers = promptPeers;
    Spread worst;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed << ", " << daemons << " daemons");
        const Spread spread = measureSpread(daemons, seed, settings, isPlatformDownAfter);
        const double slowest = std::max(worst.seconds, spread.seconds);
        CHECK(spread.platformReads <= 200);
        worst = spread;
        worst.seconds = slowest;
    }
    const std::string way = std::string(promptPeers ? "one peer told at once" : "no peer told at once") + (isPlatformDownAfter ? ", platform down after" : "");
    print(daemons, way.c_str(), worst);
    CHECK(worst.seconds <= 9);
}

TEST_CASE("a fleet that starts at once asks the platform far less than it can answer", "[configuration]")
{
    StoreFleet fleet(1);
    fleet.add(460);
    uint64_t most = 0;
    for (int second = 0; second < 20; ++second) {
        const auto before = fleet.platform.counts().reads;
        fleet.loop.advance(Milliseconds(1000));
        most = std::max(most, fleet.platform.counts().reads - before);
    }
    std::cout << "spread: 460 daemons starting at once: " << most << " platform reads in the busiest second\n";
    CHECK(most <= 1000);
}
