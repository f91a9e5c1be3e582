#include "distribution/DistributionFixture.h"

#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

// The platform returns from an older copy. Subscribers whose copies had higher versions kept them, and missed all later changes.
TEST_CASE("changes of configuration reach every daemon after the platform has returned from an older copy", "[restored]")
{
    DistributionFixture fixture(24, 2);
    const FakeTables::Copy copy = fixture.tables.copy();
    fixture.run(5000);
    fixture.writeConfiguration(2);
    fixture.run(4000);
    fixture.restorePlatform(copy, 2);
    fixture.run(2000);
    fixture.writeConfiguration(3);
    fixture.run(1000);
    CHECK(fixture.countConfiguration(3) == 24);
    CHECK(fixture.countValidLeases() == 24);
}

// Subscribers that have moved to another source while the platform was away still hold grants of the first one. That one waited for them
// before it renewed its row, longer than its own lease lasted: 185 of 295 daemons had no lease for a moment.
TEST_CASE("all daemons keep their leases through a return from a copy although subscribers have moved meanwhile", "[restored]")
{
    DistributionFixture fixture(40, 2);
    fixture.run(2000);
    const FakeTables::Copy copy = fixture.tables.copy();
    fixture.run(3000);
    for (auto& it : fixture.daemons)
        it->rows.isCut = true;
    fixture.run(2300);
    // The channel is closed, so the subscribers go elsewhere.
    fixture.network.closeChannels("daemon-" + std::to_string(fixture.holderWithSubscribers()));
    for (auto& it : fixture.daemons)
        it->rows.isCut = false;
    fixture.restorePlatform(copy, 1, 700);
    CHECK(fixture.keepsLeases(6000, 40));
}

// Daemons are killed, frozen, silent or cut off from the platform while it returns from copies.
TEST_CASE("under random faults and returns from copies no daemon uses a primary after all leases say that it is released", "[restored]")
{
    const auto seed = static_cast<uint64_t>(GENERATE(range(1, 13)));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    DistributionFixture fixture(18, 2, seed);
    int number = 1;
    FakeTables::Copy copy = fixture.tables.copy();
    for (int round = 0; round < 8; ++round) {
        if (random() % 2 == 0)
            copy = fixture.tables.copy();
        fixture.run(static_cast<double>(random() % 4000));
        fixture.writeConfiguration(++number);
        for (int it = 0; it < 3; ++it) {
            const auto daemon = static_cast<size_t>(random() % 18);
            auto& process = fixture.daemons[daemon];
            switch (random() % 5) {
            case 0:
                fixture.kill(daemon, random() % 2 == 0);
                break;
            case 1:
                if (process)
                    process->loop.setPaused(true);
                break;
            case 2:
                if (process)
                    process->rows.isCut = true;
                break;
            case 3:
                if (process)
                    process->rows.appliesLate = Milliseconds(1500);
                break;
            default:
                fixture.network.silentHosts.insert("daemon-" + std::to_string(daemon));
            }
        }
        if (random() % 3 == 0)
            (void)fixture.beginChange();
        fixture.run(static_cast<double>(random() % 2000));
        fixture.restorePlatform(copy, number, static_cast<double>(random() % 1500));
        fixture.run(static_cast<double>(random() % 1000));
        fixture.writeConfiguration(++number);
        const RowVersion epoch = fixture.beginChange();
        const bool isReleased = fixture.waitForRelease(epoch, 16'000) < Milliseconds(16'000);
        CHECK(isReleased);
        for (int it = 0; it < 25; ++it) {
            REQUIRE((!isReleased || fixture.countUsing(epoch) == 0));
            fixture.run(40);
        }
        for (size_t it = 0; it < 18; ++it) {
            fixture.restart(it);
            auto& process = fixture.daemons[it];
            process->loop.setPaused(false);
            process->rows.isCut = false;
            process->rows.appliesLate = Milliseconds(0);
            fixture.network.silentHosts.erase("daemon-" + std::to_string(it));
        }
        fixture.run(4000);
        CHECK(fixture.countConfiguration(number) == 18);
    }
}

// All daemons notice the return within a second. Only the holders may call the platform then, a few times each.
TEST_CASE("the calls of a second after a return from a copy stay below the platform's limit, whatever the size of the fleet", "[restored]")
{
    const size_t daemons = GENERATE(30, 295);
    DistributionFixture fixture(daemons, 6);
    const FakeTables::Copy copy = fixture.tables.copy();
    fixture.run(5000);
    fixture.restorePlatform(copy, 1, 700);
    const uint64_t before = fixture.calls();
    fixture.run(1000);
    // What one part of the platform's tables takes in a second.
    constexpr uint64_t transactionsPerSecond = 300;
    CHECK(fixture.calls() - before <= transactionsPerSecond);
    CHECK(fixture.countValidLeases() == daemons);
}
