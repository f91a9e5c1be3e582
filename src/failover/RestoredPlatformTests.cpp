#include "failover/FailoverFixture.h"
#include "leases/Epoch.h"

#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

namespace {

/// Crashes the primary "one" and lets it be replaced. It is up again afterwards, as a primary of its old term, as if nothing had reached it.
void replaceFirstPrimary(FailoverFixture& fixture)
{
    auto& one = fixture.targets[TargetId("one")];
    one.isDown = true;
    fixture.runWithTraffic(3000);
    REQUIRE(fixture.promotions.requests.size() == 1);
    one.isDown = false;
    one.isPrimary = true;
    one.term = Term(1);
}

size_t linesWith(const FailoverFixture& fixture, const std::string& text)
{
    size_t n = 0;
    for (const auto& it : fixture.daemons)
        n += static_cast<size_t>(std::count_if(it->logLines.begin(), it->logLines.end(), [&text](const std::string& line) { return line.find(text) != std::string::npos; }));
    return n;
}

}

// The epoch that all daemons had confirmed was above that of the copy, so no lease was renewed any more, and every request was refused
//.
TEST_CASE("writes go on after the platform has returned from a copy without the last change of primary", "[restored]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    const FakeTables::Copy copy = fixture.tables.copy();
    replaceFirstPrimary(fixture);
    fixture.restorePlatform(copy, 1000);
    // No daemon loses its lease, so none refuses a write meanwhile.
    for (int it = 0; it < 300; ++it) {
        CHECK(fixture.write(static_cast<size_t>(it) % 3) == RelayError::None);
        fixture.run(50);
    }
    CHECK(fixture.staleWrites == 0);
    CHECK(fixture.promotions.requests.size() == 1);
}

// A copy names the primary before the last change. A process that has started since, and one that was cut off during the change, know
// nothing later.
TEST_CASE("daemons without a lease from before the copy do not use the primary that the copy names", "[restored]")
{
    FailoverFixture fixture(5);
    fixture.writeFromAllDaemons();
    const FakeTables::Copy copy = fixture.tables.copy();
    const size_t cutOff = GENERATE(range(0U, 5U));
    const size_t restarted = (cutOff + 1) % 5;
    CAPTURE(cutOff);
    fixture.daemons[cutOff]->rows.isCut = true;
    fixture.run(7000);
    replaceFirstPrimary(fixture);
    fixture.restorePlatform(copy, 1000);
    fixture.restart(restarted, 10);
    // The two reach the platform before all others.
    for (size_t it = 0; it < 5; ++it)
        fixture.daemons[it]->rows.isCut = it != cutOff && it != restarted;
    fixture.runWithTraffic(2000);
    for (auto& it : fixture.daemons)
        it->rows.isCut = false;
    fixture.runWithTraffic(15'000);
    CHECK(fixture.staleWrites == 0);
    for (size_t it = 0; it < 5; ++it)
        CHECK(fixture.write(it) == RelayError::None);
    CHECK(fixture.promotions.areFencingTokensOrdered());
}

// All processes are killed while the platform is away, so nobody remembers the change of primary that the copy lacks.
TEST_CASE("after a return from a copy that all daemons have forgotten, the targets tell who is primary", "[restored]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    const FakeTables::Copy copy = fixture.tables.copy();
    replaceFirstPrimary(fixture);
    fixture.restorePlatform(copy, 1000);
    for (size_t it = 0; it < 3; ++it)
        fixture.restart(it, 0);
    fixture.runWithTraffic(20'000);
    CHECK(fixture.staleWrites == 0);
    for (size_t it = 0; it < 3; ++it)
        CHECK(fixture.write(it) == RelayError::None);
}

// The promoted target is down, so only the term of the replica that followed it shows that the primary of the copy was replaced.
TEST_CASE("after a return from a copy a primary is not used again if a replica follows a later term", "[restored]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    const FakeTables::Copy copy = fixture.tables.copy();
    replaceFirstPrimary(fixture);
    fixture.targets[fixture.promotions.requests[0].target].isDown = true;
    fixture.restorePlatform(copy, 1000);
    for (size_t it = 0; it < 3; ++it)
        fixture.restart(it, 0);
    fixture.runWithTraffic(20'000);
    CHECK(fixture.staleWrites == 0);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.countDaemonsUsing("one") == 0);
}

// Leases that were renewed after the copy was made are not listed in it. Their holders may use the old primary until they expire.
TEST_CASE("no target is promoted after a return from a copy before all leases of the earlier era have expired", "[restored]")
{
    FailoverFixture fixture(5);
    const FakeTables::Copy copy = fixture.tables.copy();
    fixture.run(8000);
    fixture.writeFromAllDaemons();
    fixture.restorePlatform(copy, 500);
    fixture.daemons[4]->rows.isCut = true;
    const Instant restoredAt = fixture.loop.now();
    fixture.run(300);
    fixture.setLeaving("one");
    for (int it = 0; it < 60 && fixture.promotions.requests.empty(); ++it) {
        fixture.write(4);
        fixture.run(100);
    }
    fixture.run(4000);
    REQUIRE(fixture.promotions.requests.size() == 1);
    CHECK(fixture.promotions.requests[0].at - restoredAt > InstanceLease::maxDuration);
    CHECK(fixture.staleWrites == 0);
}

// A planned change within the settling time would stop all writes until its end.
TEST_CASE("a primary that leaves soon after a return from a copy stays in use until the change can be carried out", "[restored]")
{
    FailoverFixture fixture(3);
    const FakeTables::Copy copy = fixture.tables.copy();
    fixture.run(8000);
    fixture.writeFromAllDaemons();
    fixture.restorePlatform(copy, 1000);
    fixture.run(4800);
    fixture.setLeaving("one");
    Instant lastWrite = fixture.loop.now();
    Milliseconds longestGap;
    for (int it = 0; it < 200; ++it) {
        if (fixture.write(0) == RelayError::None) {
            longestGap = std::max(longestGap, fixture.loop.now() - lastWrite);
            lastWrite = fixture.loop.now();
        }
        fixture.run(20);
    }
    CHECK(longestGap < Milliseconds(1500));
    CHECK(fixture.countDaemonsUsing("one") == 0);
    CHECK(fixture.staleWrites == 0);
}

// The outage outlasts the leases, so no daemon knows whether the primary was replaced before the platform returned.
TEST_CASE("writes succeed again after a long outage that ends with a copy", "[restored]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    const FakeTables::Copy copy = fixture.tables.copy();
    fixture.run(3000);
    fixture.restorePlatform(copy, 9000);
    fixture.runWithTraffic(9000);
    for (size_t it = 0; it < 3; ++it)
        CHECK(fixture.write(it) == RelayError::None);
    CHECK(fixture.promotions.requests.empty());
    CHECK(fixture.countDaemonsUsing("one") == 3);
}

TEST_CASE("a change of primary that the copy lacks is completed", "[restored]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    const FakeTables::Copy copy = fixture.tables.copy();
    fixture.promotions.hasNoEffect = GENERATE(false, true);
    fixture.targets[TargetId("one")].isDown = true;
    while (fixture.promotions.requests.empty()) {
        fixture.writeFromAllDaemons();
        fixture.run(20);
    }
    fixture.restorePlatform(copy, 1000);
    fixture.promotions.hasNoEffect = false;
    fixture.runWithTraffic(15'000);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.staleWrites == 0);
    CHECK(fixture.promotions.areFencingTokensOrdered());
}

TEST_CASE("records are reinstated after each of two returns in a row", "[restored]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    const FakeTables::Copy copy = fixture.tables.copy();
    replaceFirstPrimary(fixture);
    fixture.restorePlatform(copy, 300);
    fixture.run(static_cast<double>(GENERATE(0, 50, 400, 2000)));
    fixture.restorePlatform(copy, 300);
    fixture.runWithTraffic(3000);
    for (size_t it = 0; it < 3; ++it)
        CHECK(fixture.write(it) == RelayError::None);
    CHECK(fixture.staleWrites == 0);
    CHECK(linesWith(fixture, "\"reinstated\":\"yes\"") == 0);
}

// Version numbers are given out again, so a transaction of an earlier era may find the numbers that it expects on other rows.
TEST_CASE("a transaction that the platform applies only in the next era changes nothing there", "[restored]")
{
    VirtualLoop loop;
    FakeTables tables(loop);
    FakeRows rows(loop, tables);
    tables.put(controlTable, "group/a", "old");
    const FakeTables::Copy copy = tables.copy();
    tables.put(controlTable, "group/a", "lost");
    RowsTransaction late;
    late.expected.push_back({ controlTable, "group/a", tables.version() });
    late.expected.push_back(eraFence(firstEra));
    late.writes.push_back({ controlTable, "group/a", "late" });
    rows.appliesLate = Milliseconds(3000);
    rows.transact(late, [](const auto&) {});
    loop.advance(Milliseconds(100));
    tables.restore(copy);
    tables.put(controlTable, "group/a", "present");
    REQUIRE(tables.version().number() == late.expected[0].version.number());
    tables.put(controlTable, eraKey(firstEra.next()), encodeEraRow(Instant(0)));
    loop.advance(Milliseconds(5000));
    CHECK(*tables.find(controlTable, "group/a") == "present");
}

TEST_CASE("an era row that cannot be decoded is rejected", "[restored]")
{
    const std::string text = GENERATE(as<std::string> {}, "", "{}", "[1]", "{\"began_at\":\"x\"}", "{\"began_at\":");
    CHECK_FALSE(decodeEraRow({ controlTable, eraKey(firstEra), text, RowVersion(firstEra, 3) }).ok());
}

TEST_CASE("under random faults and returns from copies no replaced primary acknowledges a write, and fencing tokens do not decrease", "[restored]")
{
    const auto seed = GENERATE(range(1U, 61U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    FailoverFixture fixture(5);
    const std::vector<std::string> names { "one", "two", "three" };
    std::vector<FakeTables::Copy> copies { fixture.tables.copy() };
    for (int step = 0; step < 25; ++step) {
        const size_t daemon = random() % fixture.daemons.size();
        auto& rows = fixture.daemons[daemon]->rows;
        auto& target = fixture.targets[TargetId(names[random() % names.size()])];
        if (random() % 2 == 0)
            copies.push_back(fixture.tables.copy());
        switch (random() % 7) {
        case 0:
            rows.isCut = !rows.isCut;
            break;
        case 1:
            rows.losesAnswers = !rows.losesAnswers;
            break;
        case 2:
            rows.appliesLate = rows.appliesLate > Milliseconds(0) ? Milliseconds(0) : Milliseconds(static_cast<double>(200 + random() % 3000));
            break;
        case 3:
            target.isDown = !target.isDown;
            break;
        case 4:
            target.isSilent = !target.isSilent;
            break;
        case 5:
            fixture.restart(daemon, static_cast<double>(50 + random() % 500));
            break;
        default: {
            // Of the last copies, so that some seconds are lost.
            const size_t age = random() % std::min<size_t>(copies.size(), 5);
            fixture.restorePlatform(copies[copies.size() - 1 - age], static_cast<double>(random() % 2500));
            break;
        }
        }
        for (int n = 0; n < 3; ++n) {
            fixture.write(random() % fixture.daemons.size());
            fixture.run(static_cast<double>(random() % 400));
        }
    }
    CHECK(fixture.staleWrites == 0);
    CHECK(fixture.promotions.areFencingTokensOrdered());
    for (auto& it : fixture.daemons) {
        it->rows.isCut = false;
        it->rows.losesAnswers = false;
        it->rows.appliesLate = Milliseconds(0);
    }
    for (const auto& it : names) {
        fixture.targets[TargetId(it)].isDown = false;
        fixture.targets[TargetId(it)].isSilent = false;
    }
    fixture.runWithTraffic(20'000);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.staleWrites == 0);
}
