#include "distribution/DistributionFixture.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

/// Time since anything confirmed the configuration to the daemon, as the platform's daemon computes it.
Milliseconds ageAt(const DistributionDaemon& daemon)
{
    return std::min(daemon.sharedRows.confirmationAge(), daemon.lease.platformAge().value_or(daemon.sharedRows.confirmationAge()));
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
// holders' watches are answered every 7.5 s.
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
        CHECK(ageAt(*it) > confirmationLimit);
    for (const auto& it : fixture.daemons)
        it->rows.isCut = false;
    fixture.run(3000);
    for (const auto& it : fixture.daemons)
        CHECK(ageAt(*it) < confirmationLimit);
}
