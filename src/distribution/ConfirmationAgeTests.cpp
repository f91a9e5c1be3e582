#include "distribution/ConfirmationMonitor.h"
#include "distribution/DistributionFixture.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

/// Time since anything confirmed the configuration to the daemon, as the platform's daemon computes it.
Milliseconds ageAt(const DistributionDaemon& daemon)
{
    return daemon.sharedRows.confirmationAge();
}

/// The highest age at any of the daemons during the time.
Milliseconds highestAge(DistributionFixture& fixture, double milliseconds)
{
    Milliseconds highest;
    constexpr double step = 50;
    for (double passed = 0; passed < milliseconds; passed += step) {
        fixture.run(step);
        for (const auto& it : fixture.daemons)
            highest = std::max(highest, ageAt(*it));
    }
    return highest;
}

/// revoke-ms in the deployments that set it.
constexpr Milliseconds confirmationLimit { 5000 };

}

// With revoke-fail-closed, a daemon refuses organisations beyond the limit. Subscribers call the platform only to find a source, and
// holders' watches of the configuration are answered in less than that time.
TEST_CASE("while the platform is reached, holders and subscribers alike have the configuration confirmed within the limit", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    REQUIRE(fixture.holders().size() < 24);
    CHECK(highestAge(fixture, 60'000) < confirmationLimit);
}

TEST_CASE("no daemon has the configuration confirmed during an outage of the platform, and each one has soon after it", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    fixture.run(10'000);
    for (const auto& it : fixture.daemons)
        it->rows.isCut = true;
    fixture.run(confirmationLimit.count() + 50);
    for (const auto& it : fixture.daemons)
        CHECK(ageAt(*it).count() > confirmationLimit.count());
    for (const auto& it : fixture.daemons)
        it->rows.isCut = false;
    fixture.run(3000);
    for (const auto& it : fixture.daemons)
        CHECK(ageAt(*it).count() < confirmationLimit.count());
}

// Guards against withdrawn keys that stay in use: the renewals of the lease were answered while the response that reported a new configuration
// was lost, and the daemon took the configuration for confirmed.
TEST_CASE("answers to other calls do not confirm the configuration", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    fixture.run(10'000);
    for (const auto& it : fixture.daemons)
        it->rows.losesWatchAnswers = true;
    fixture.run(confirmationLimit.count() + 50);
    for (const auto& it : fixture.daemons)
        CHECK(ageAt(*it).count() > confirmationLimit.count());
    for (const auto& it : fixture.daemons)
        it->rows.losesWatchAnswers = false;
    fixture.run(testConfigurationBound.count());
    for (const auto& it : fixture.daemons)
        CHECK(ageAt(*it).count() < confirmationLimit.count());
}

// Guards against old configurations in force: a lost response to a source's watch left its subscribers with the old version, too.
TEST_CASE("a configuration whose response to all sources is lost reaches every daemon within its bound", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    fixture.run(10'000 + GENERATE(0, 700, 1400, 2100, 2800));
    for (const auto& it : fixture.daemons)
        it->rows.losesWatchAnswers = true;
    fixture.tables.put(testConfigurationTable, testConfigurationKey, "1");
    fixture.run(100);
    for (const auto& it : fixture.daemons)
        it->rows.losesWatchAnswers = false;
    fixture.run(testConfigurationBound.count() - 100);
    for (const auto& it : fixture.daemons)
        CHECK(it->configuration == 1);
}

TEST_CASE("a daemon logs once that nothing confirms its configuration, and once that something does again", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    DistributionDaemon& holder = *fixture.daemons[fixture.holderWithSubscribers()];
    ConfirmationMonitor monitor(fixture.loop, holder.sharedRows, holder.log, testConfigurationBound);
    monitor.start();
    fixture.run(10'000);
    CHECK_FALSE(holder.hasLogged("configuration_unconfirmed"));
    for (const auto& it : fixture.daemons)
        it->rows.isCut = true;
    fixture.run(testConfigurationBound.count() + 5000);
    CHECK(holder.hasLogged("configuration_unconfirmed"));
    CHECK_FALSE(holder.hasLogged("configuration_confirmed"));
    for (const auto& it : fixture.daemons)
        it->rows.isCut = false;
    fixture.run(5000);
    CHECK(holder.hasLogged("configuration_confirmed"));
    CHECK(holder.sharedRows.ageBeforeConfirmation() < testConfigurationBound);
}
