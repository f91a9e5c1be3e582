#include "distribution/DistributionFixture.h"

#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

namespace {

/// Runs the fleet and returns whether all daemons held valid leases at every 20 ms of it.
bool keepsLeases(DistributionFixture& fixture, double milliseconds, size_t expected)
{
    bool areValid = true;
    for (double it = 0; it < milliseconds; it += 20) {
        fixture.run(20);
        areValid = areValid && fixture.countValidLeases() >= expected;
    }
    return areValid;
}

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

size_t holderWithSubscribers(const DistributionFixture& fixture)
{
    for (const size_t it : fixture.holders()) {
        if (!fixture.subscribersOf(it).empty())
            return it;
    }
    FAIL("no holder has subscribers");
    return 0;
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
    const size_t source = holderWithSubscribers(fixture);
    fixture.kill(source, losesPower);
    CHECK(keepsLeases(fixture, 5000, 23));
    fixture.writeConfiguration(2);
    fixture.run(100);
    CHECK(fixture.countConfiguration(2) == 23);
}

TEST_CASE("subscribers whose channels fall silent subscribe anew and keep their leases", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    const size_t source = holderWithSubscribers(fixture);
    fixture.network.silenceChannels("daemon-" + std::to_string(source));
    CHECK(keepsLeases(fixture, 5000, 24));
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
    const size_t source = holderWithSubscribers(fixture);
    fixture.daemons[source]->role.stopServing();
    CHECK(keepsLeases(fixture, 3000, 24));
    fixture.stop(source, 0);
    const RowVersion epoch = fixture.beginChange();
    CHECK(fixture.waitForRelease(epoch) <= Milliseconds(100));
    CHECK(fixture.countUsing(epoch) == 0);
}

TEST_CASE("a change waits for the grant of a frozen subscriber and for no longer", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    const size_t source = holderWithSubscribers(fixture);
    const size_t frozen = fixture.subscribersOf(source).front();
    fixture.daemons[frozen]->loop.setPaused(true);
    const RowVersion epoch = fixture.beginChange();
    const Milliseconds wait = fixture.waitForRelease(epoch);
    CHECK(fixture.countUsing(epoch) == 0);
    CHECK(wait <= Milliseconds(3000));
    // The other daemons keep their leases meanwhile.
    CHECK(keepsLeases(fixture, 3000, 23));
    fixture.daemons[frozen]->loop.setPaused(false);
    CHECK(fixture.countUsing(epoch) == 0);
    fixture.run(2000);
    CHECK(fixture.countValidLeases() == 24);
}

TEST_CASE("a change waits for the row of a frozen source, whose subscribers move on", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    const size_t source = holderWithSubscribers(fixture);
    fixture.daemons[source]->loop.setPaused(true);
    CHECK(keepsLeases(fixture, 3000, 23));
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
    const size_t source = holderWithSubscribers(fixture);
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
    const size_t source = holderWithSubscribers(fixture);
    fixture.kill(source);
    fixture.restart(source);
    const RowVersion epoch = fixture.beginChange();
    CHECK(fixture.waitForRelease(epoch) <= Milliseconds(3000));
    CHECK(fixture.countUsing(epoch) == 0);
}

TEST_CASE("a subscriber that restarts under its name is served again at once", "[distribution]")
{
    DistributionFixture fixture(24, 2);
    const size_t source = holderWithSubscribers(fixture);
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
    const size_t source = holderWithSubscribers(fixture);
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
    CHECK(keepsLeases(fixture, 4000, 295));
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

// Kills, losses of power, freezes, cuts from the platform, silent channels, restarts under the same name, and planned stops, while
// configurations and changes of primary are written.
TEST_CASE("under random faults no daemon uses a primary after all leases say that it is released", "[distribution]")
{
    const auto seed = static_cast<uint64_t>(GENERATE(range(1, 25)));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    DistributionFixture fixture(18, 2, seed);
    int number = 1;
    for (int round = 0; round < 12; ++round) {
        const auto one = [&random] { return static_cast<size_t>(random() % 18); };
        for (int it = 0; it < 3; ++it) {
            const size_t daemon = one();
            auto& process = fixture.daemons[daemon];
            switch (random() % 7) {
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
                    process->rows.losesAnswers = true;
                break;
            case 4:
                fixture.network.silenceChannels("daemon-" + std::to_string(daemon));
                break;
            case 5:
                if (process)
                    process->rows.appliesLate = Milliseconds(1500);
                break;
            default:
                fixture.network.silentHosts.insert("daemon-" + std::to_string(daemon));
            }
        }
        fixture.run(static_cast<double>(random() % 2000));
        fixture.writeConfiguration(++number);
        const RowVersion epoch = fixture.beginChange();
        const bool isReleased = fixture.waitForRelease(epoch, 12'000) < Milliseconds(12'000);
        CHECK(isReleased);
        for (size_t it = 0; it < 18; ++it) {
            if (random() % 2 == 0)
                continue;
            fixture.restart(it);
            auto& process = fixture.daemons[it];
            process->loop.setPaused(false);
            process->rows.isCut = false;
            process->rows.losesAnswers = false;
            process->rows.appliesLate = Milliseconds(0);
            fixture.network.silentHosts.erase("daemon-" + std::to_string(it));
        }
        for (int it = 0; it < 50; ++it) {
            REQUIRE((!isReleased || fixture.countUsing(epoch) == 0));
            fixture.run(40);
        }
        REQUIRE_FALSE(fixture.hasAnyGoneBack());
    }
}

// A source whose answer says more than the protocol allows, as by a fault.
TEST_CASE("a grant never lasts longer than the protocol allows", "[distribution]")
{
    DistributionFixture fixture(1, 1);
    DistributionDaemon& daemon = *fixture.daemons[0];
    SharedRows rows(fixture.loop, daemon.rows, daemon.log, { controlTable });
    FakeRows platform(fixture.loop, fixture.tables);
    InstanceLease lease(fixture.loop, platform, InstanceId("other"), "first", {});
    struct Connector final : PeerConnector {
        PeerChannelCallbacks callbacks;
        struct Channel final : PeerChannel {
            void send(const std::string&) override { }
            void close() override { }
        };
        std::shared_ptr<PeerChannel> connect(const PeerEndpoint&, PeerChannelCallbacks it) override
        {
            callbacks = std::move(it);
            return std::make_shared<Channel>();
        }
    } connector;
    SourceClient client(fixture.loop, connector, rows, lease, daemon.log, { [] {}, [] {}, [] {}, [] {} });
    client.setCandidates({ { InstanceId("source"), { FailureDomainId("domain-0"), "source", 1, 2, 3, 0 }, true } });
    client.start();
    connector.callbacks.onLine(R"({"v":2,"kind":"grant","number":1,"duration_ms":1e12,"platform_age_ms":0})");
    CHECK(lease.isValid());
    fixture.run(2510);
    CHECK_FALSE(lease.isValid());
}

// The platform returns from an older copy. Subscribers whose copies had higher versions kept them, and missed all later changes (issue 23).
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
    fixture.network.closeChannels("daemon-" + std::to_string(holderWithSubscribers(fixture)));
    for (auto& it : fixture.daemons)
        it->rows.isCut = false;
    fixture.restorePlatform(copy, 1, 700);
    CHECK(keepsLeases(fixture, 6000, 40));
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

// Chausse-cloud-large, hunt-91b3-7: the platform refuses a source, and the other sources of its failure domain do not answer. Its subscribers
// reach the platform, and have to be served by a change of configuration within six seconds.
TEST_CASE("subscribers of a source that the platform refuses receive a change within six seconds although no other source answers", "[distribution][known-red]")
{
    DistributionFixture fixture(40, 2);
    const size_t source = holderWithSubscribers(fixture);
    const auto subscribers = fixture.subscribersOf(source);
    fixture.daemons[source]->rows.isCut = true;
    for (const size_t it : fixture.holders()) {
        if (it != source && it % 2 == source % 2)
            fixture.network.silentHosts.insert("daemon-" + std::to_string(it));
    }
    fixture.run(600);
    fixture.writeConfiguration(2);
    fixture.run(6000);
    for (const size_t it : subscribers) {
        CAPTURE(it);
        CHECK(fixture.daemons[it]->configuration == 2);
    }
}
