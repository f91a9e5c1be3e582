#include "distribution/DistributionFixture.h"

#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

namespace {

/// Adds 96 KB of rows that can hardly be compressed.
void putLargeTable(DistributionFixture& fixture)
{
    std::mt19937 random(1);
    for (int row = 0; row < 8; ++row) {
        std::string value;
        for (int it = 0; it < 12'000; ++it)
            value += static_cast<char>('0' + random() % 64);
        fixture.tables.put(testConfigurationTable, "row-" + std::to_string(row), value);
    }
    fixture.run(1000);
}

}

// The load that a fleet of hundreds of daemons puts on the platform must not grow with their number: 40 calls a second at 295
// daemons in 6 failure domains.
TEST_CASE("in a quiet fleet only the holders call the platform, whatever its size", "[distribution]")
{
    const size_t n = GENERATE(295, 460);
    DistributionFixture fixture(n, 6);
    CHECK(fixture.holders().size() >= 18);
    CHECK(fixture.holders().size() <= 24);
    CHECK(fixture.countValidLeases() == n);
    fixture.run(20'000);
    CHECK(fixture.holders().size() == 18);
    const uint64_t before = fixture.calls();
    fixture.run(30'000);
    CHECK(static_cast<double>(fixture.calls() - before) / 30 <= 40);
}

TEST_CASE("the first start of 295 daemons costs two calls a daemon besides those of the holders", "[distribution]")
{
    DistributionFixture fixture(295, 6);
    // Each holder reads four tables, watches three, and renews its row.
    CHECK(fixture.calls() <= 295 * 2 + 24 * 60);
}

TEST_CASE("a small fleet has holders only", "[distribution]")
{
    DistributionFixture fixture(9, 4);
    fixture.run(30'000);
    CHECK(fixture.holders().size() == 9);
    CHECK(fixture.countValidLeases() == 9);
}

TEST_CASE("a change of configuration reaches every daemon at once and costs a call a holder", "[distribution]")
{
    DistributionFixture fixture(295, 6);
    fixture.run(30'000);
    const uint64_t before = fixture.calls();
    fixture.writeConfiguration(2);
    fixture.run(100);
    CHECK(fixture.countConfiguration(2) == 295);
    CHECK(fixture.calls() - before <= size_t { 18 } * 3);
}

TEST_CASE("all daemons stop using a primary within 100 ms of the change, at a few calls a holder", "[distribution]")
{
    DistributionFixture fixture(295, 6);
    fixture.run(30'000);
    const uint64_t before = fixture.calls();
    const RowVersion epoch = fixture.beginChange();
    CHECK(fixture.waitForRelease(epoch) <= Milliseconds(100));
    CHECK(fixture.countUsing(epoch) == 0);
    CHECK(fixture.countValidLeases() == 295);
    CHECK(fixture.calls() - before <= size_t { 18 } * 5);
}

TEST_CASE("subscribers of a killed source keep their leases through another one", "[distribution]")
{
    const bool losesPower = GENERATE(false, true);
    DistributionFixture fixture(24, 2);
    const size_t source = fixture.holderWithSubscribers();
    fixture.kill(source, losesPower);
    CHECK(fixture.keepsLeases(5000, 23));
    fixture.writeConfiguration(2);
    fixture.run(100);
    CHECK(fixture.countConfiguration(2) == 23);
}

TEST_CASE("subscribers whose channels fall silent subscribe anew and keep their leases", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    const size_t source = fixture.holderWithSubscribers();
    fixture.network.silenceChannels("daemon-" + std::to_string(source));
    CHECK(fixture.keepsLeases(5000, 24));
    fixture.writeConfiguration(2);
    fixture.run(100);
    CHECK(fixture.countConfiguration(2) == 24);
}

// A failure domain loses all its holders at once, with or without their channels being closed.
TEST_CASE("other daemons become holders when all holders of a failure domain are lost", "[distribution]")
{
    const bool losesPower = GENERATE(false, true);
    DistributionFixture fixture(40, 2);
    for (const size_t it : fixture.holders()) {
        if (it % 2 == 0)
            fixture.kill(it, losesPower);
    }
    const auto remaining = static_cast<size_t>(std::count_if(fixture.daemons.begin(), fixture.daemons.end(), [](const auto& it) { return it != nullptr; }));
    fixture.run(losesPower ? 5000 : 2500);
    CHECK(fixture.countValidLeases() == remaining);
    fixture.run(20'000);
    CHECK(fixture.holders().size() == 6);
    fixture.writeConfiguration(2);
    fixture.run(100);
    CHECK(fixture.countConfiguration(2) == remaining);
}

// All machines lose power and start again within 0.4 s of each other, while the platform still lists the holders of before.
TEST_CASE("all daemons that restart at once serve again within a second", "[distribution]")
{
    DistributionFixture fixture(295, 6);
    fixture.run(20'000);
    for (size_t it = 0; it < 295; ++it)
        fixture.kill(it, true);
    fixture.run(600);
    const uint64_t before = fixture.calls();
    for (size_t it = 0; it < 295; ++it) {
        fixture.restart((it * 7) % 295);
        fixture.run(400.0 / 295);
    }
    fixture.run(300);
    CHECK(fixture.countValidLeases() >= 280);
    fixture.run(700);
    CHECK(fixture.countValidLeases() == 295);
    CHECK(fixture.countConfiguration(1) == 295);
    CHECK(fixture.holders().size() <= 24);
    CHECK(fixture.calls() - before <= size_t { 295 } * 3);
}

// A fleet with hundreds of databases on links of 2 Mbit/s: the tables for all subscribers of a source occupy its link for seconds, and
// its own copy of them for 0.4 s.
TEST_CASE("daemons that restart together over slow links receive large tables and do not take their sources for silent", "[distribution]")
{
    // After the longer pause the rows of all holders have expired.
    const double pause = GENERATE(600, 10'000);
    const auto seed = GENERATE(range(1U, 7U));
    CAPTURE(pause, seed);
    DistributionFixture fixture(50, 1, seed);
    putLargeTable(fixture);
    fixture.limitLinks(250'000);
    for (size_t it = 0; it < 50; ++it)
        fixture.kill(it, true);
    fixture.run(pause);
    for (size_t it = 0; it < 50; ++it)
        fixture.restart(it);
    fixture.run(2000);
    // With 54 holders in 6 failure domains a fleet at rest still makes fewer than 90 calls a second.
    CHECK(fixture.holders().size() <= 9);
    // A source with half of the subscribers needs 9.2 s for their tables.
    fixture.run(12'000);
    CHECK(fixture.countConfiguration(1) == 50);
    CHECK(fixture.countValidLeases() == 50);
    fixture.run(20'000);
    CHECK(fixture.holders().size() == 3);
    for (const auto& it : fixture.daemons)
        CHECK_FALSE(it->hasLogged("a renewal was not answered"));
}

TEST_CASE("a planned stop of a source interrupts no subscriber's lease and delays no later change", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    const size_t source = fixture.holderWithSubscribers();
    fixture.daemons[source]->role.stopServing();
    CHECK(fixture.keepsLeases(3000, 24));
    fixture.stop(source, 0);
    const RowVersion epoch = fixture.beginChange();
    CHECK(fixture.waitForRelease(epoch) <= Milliseconds(100));
    CHECK(fixture.countUsing(epoch) == 0);
}

TEST_CASE("a change waits for the grant of a frozen subscriber and for no longer", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    const size_t source = fixture.holderWithSubscribers();
    const size_t frozen = fixture.subscribersOf(source).front();
    fixture.daemons[frozen]->loop.setPaused(true);
    const RowVersion epoch = fixture.beginChange();
    const Milliseconds wait = fixture.waitForRelease(epoch);
    CHECK(fixture.countUsing(epoch) == 0);
    CHECK(wait <= Milliseconds(3000));
    // The other daemons keep their leases meanwhile.
    CHECK(fixture.keepsLeases(3000, 23));
    fixture.daemons[frozen]->loop.setPaused(false);
    CHECK(fixture.countUsing(epoch) == 0);
    fixture.run(2000);
    CHECK(fixture.countValidLeases() == 24);
}

TEST_CASE("a change waits for the row of a frozen source, whose subscribers move on", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    const size_t source = fixture.holderWithSubscribers();
    fixture.daemons[source]->loop.setPaused(true);
    CHECK(fixture.keepsLeases(3000, 23));
    const RowVersion epoch = fixture.beginChange();
    CHECK(fixture.waitForRelease(epoch) <= Milliseconds(7000));
    CHECK(fixture.countUsing(epoch) == 0);
    fixture.daemons[source]->loop.setPaused(false);
    for (int it = 0; it < 200; ++it) {
        fixture.run(20);
        CHECK(fixture.countUsing(epoch) == 0);
    }
}

// A source is killed and starts again under its name, while its subscribers hold grants of the earlier process and have not heard
// of the change.
TEST_CASE("a new process does not replace a row under which grants may last", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    const size_t source = fixture.holderWithSubscribers();
    for (const size_t it : fixture.subscribersOf(source))
        fixture.daemons[it]->loop.setPaused(true);
    fixture.kill(source);
    fixture.restart(source);
    const RowVersion epoch = fixture.beginChange();
    fixture.waitForRelease(epoch);
    CHECK(fixture.countUsing(epoch) == 0);
    CHECK(fixture.hasAnyGoneBack() == false);
}

// The row of the process before would delay a change of primary until it expires after 6 s.
TEST_CASE("a source that restarts delays a change only until the grants of its earlier process have expired", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    const size_t source = fixture.holderWithSubscribers();
    fixture.kill(source);
    fixture.restart(source);
    const RowVersion epoch = fixture.beginChange();
    CHECK(fixture.waitForRelease(epoch) <= Milliseconds(3000));
    CHECK(fixture.countUsing(epoch) == 0);
}

TEST_CASE("a subscriber that restarts under its name is served again at once", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    const size_t source = fixture.holderWithSubscribers();
    const size_t subscriber = fixture.subscribersOf(source).front();
    fixture.kill(subscriber);
    fixture.writeConfiguration(2);
    fixture.restart(subscriber);
    fixture.run(600);
    CHECK(fixture.countValidLeases() == 24);
    CHECK(fixture.countConfiguration(2) == 24);
}

TEST_CASE("subscribers of a source that is cut off from the platform receive changes through another one", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    const size_t source = fixture.holderWithSubscribers();
    fixture.daemons[source]->rows.isCut = true;
    fixture.run(4500);
    fixture.writeConfiguration(2);
    fixture.run(100);
    CHECK(fixture.countConfiguration(2) >= 23);
    CHECK(fixture.countValidLeases() == 24);
}

TEST_CASE("a daemon becomes a holder when no source of its failure domain reaches the platform", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    for (const size_t it : fixture.holders()) {
        if (it % 2 == 0)
            fixture.daemons[it]->rows.isCut = true;
    }
    fixture.run(6000);
    fixture.writeConfiguration(2);
    fixture.run(1500);
    CHECK(fixture.countConfiguration(2) >= 21);
    CHECK(fixture.countValidLeases() >= 21);
}

TEST_CASE("leases last through an outage of the platform of four seconds, and the daemons do not press on it", "[distribution]")
{
    DistributionFixture fixture(295, 6);
    fixture.run(30'000);
    for (auto& it : fixture.daemons)
        it->rows.isCut = true;
    const uint64_t before = fixture.calls();
    CHECK(fixture.keepsLeases(4000, 295));
    fixture.run(4000);
    CHECK(static_cast<double>(fixture.calls() - before) / 8 <= 90);
    for (auto& it : fixture.daemons)
        it->rows.isCut = false;
    fixture.run(4000);
    CHECK(fixture.countValidLeases() == 295);
    fixture.run(30'000);
    CHECK(fixture.holders().size() <= 24);
}

// A source that refuses during the outage must not make its subscribers give up the others, which only wait for the platform.
TEST_CASE("all daemons hold leases again within a second after a long outage of the platform", "[distribution]")
{
    DistributionFixture fixture(60, 3);
    const auto holders = fixture.holders();
    for (auto& it : fixture.daemons)
        it->rows.isCut = true;
    fixture.run(4000);
    for (const size_t it : { holders[0], holders[1], holders[2] })
        fixture.kill(it);
    fixture.run(5000);
    for (auto& it : fixture.daemons) {
        if (it)
            it->rows.isCut = false;
    }
    // A holder's call that was sent before the end of the outage takes up to 900 ms, and its next one 250 ms.
    fixture.run(1000 + 250);
    CHECK(fixture.countValidLeases() == 57);
}

TEST_CASE("no daemon returns to an older configuration when its source changes", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    int number = 1;
    for (int it = 0; it < 40; ++it) {
        fixture.writeConfiguration(++number);
        const auto holders = fixture.holders();
        // Some holders hear of the changes later than others.
        fixture.daemons[holders[static_cast<size_t>(it) % holders.size()]]->rows.isCut = it % 2 == 0;
        fixture.network.closeChannels("daemon-" + std::to_string(holders[static_cast<size_t>(it * 7) % holders.size()]));
        fixture.run(300);
    }
    CHECK_FALSE(fixture.hasAnyGoneBack());
}

TEST_CASE("input that is not a message of the protocol closes the channel and nothing else", "[distribution]")
{
    const std::string line = GENERATE(as<std::string> {}, "", "GET / HTTP/1.1", "{}", "[[[[[[[[[[[[[[[[[[[[[[[[", R"({"v":1,"kind":"renew"})", R"({"v":2,"kind":"renew","number":1,"epoch":1,"sessions":1})",
        R"({"v":2,"kind":"rows","id":1,"version":1,"platform_time":1,"history_lost":false,"rows":[{}]})", R"({"v":2,"kind":"subscribe","instance":"x"})", R"({"v":2,"kind":"grant","number":-1})", "\xff\xfe");
    DistributionFixture fixture(4, 1);
    const size_t holder = fixture.holders().front();
    bool isClosed = false;
    auto channel = fixture.network.connect(*fixture.daemons[(holder + 1) % 4], "daemon-" + std::to_string(holder), { [](std::string_view) {}, [&isClosed] { isClosed = true; } });
    channel->send(line);
    fixture.run(10);
    CHECK(isClosed);
    CHECK(fixture.daemons[holder]->hasLogged("peer_message_rejected"));
    CHECK(fixture.countValidLeases() == 4);
}

// Guards against daemons that end, or that stop following a table, because of one odd row: a source passes on what it has read.
TEST_CASE("a row that another writer has left does not keep subscribers from following the table", "[distribution]")
{
    const std::string odd = GENERATE(as<std::string> {}, std::string("\0\xff\xfe\r\n\t\"", 7), std::string(100'000, '['), std::string(65'000, '\xff'), "\xed\xa0\x80", "{\"a\":1e400}");
    DistributionFixture fixture(12, 2);
    const auto keys = { std::string("odd"), std::string("odd\tkey\r\n"), std::string("\xff\xfe"), std::string(200, 'k') };
    for (const auto& it : keys)
        fixture.tables.put(testConfigurationTable, it, odd);
    fixture.run(2000);
    fixture.writeConfiguration(2);
    fixture.run(500);
    for (const auto& it : fixture.daemons) {
        CHECK(it->configuration == 2);
        CHECK_FALSE(it->hasLogged("peer_message_rejected"));
    }
    CHECK(fixture.countValidLeases() == 12);
}

// Guards against a change of primary that does not wait for a daemon: its message that it leaves was held up, and arrived after it had
// subscribed again.
TEST_CASE("a message of an earlier channel does not end the grant of a daemon that has subscribed again", "[distribution]")
{
    DistributionFixture fixture(4, 1);
    const size_t holder = fixture.holders().front();
    DistributionDaemon& source = *fixture.daemons[holder];
    const auto connect = [&fixture, holder] {
        auto channel = fixture.network.connect(*fixture.daemons[(holder + 1) % 4], "daemon-" + std::to_string(holder), { [](std::string_view) {}, [] {} });
        channel->send(encodeSourceMessage(SubscribeMessage { InstanceId("again"), "incarnation", { FailureDomainId("domain-0"), "again", 1, 2, 3, 0.1 } }));
        return channel;
    };
    const auto grant = [&](PeerChannel& channel) {
        channel.send(encodeSourceMessage(RenewMessage { 1, source.lease.confirmedEpoch(), 0 }));
        fixture.run(20);
        return source.lease.grant(InstanceId("again"), "incarnation", source.lease.confirmedEpoch(), 0);
    };
    const auto earlier = connect();
    fixture.run(1500);
    REQUIRE(grant(*earlier) > Milliseconds(0));
    const auto present = connect();
    fixture.run(20);
    REQUIRE(grant(*present) > Milliseconds(0));
    earlier->send(encodeSourceMessage(LeaveMessage {}));
    fixture.run(20);
    CHECK(source.lease.grant(InstanceId("again"), "incarnation", source.lease.confirmedEpoch(), 0) > Milliseconds(0));
}
