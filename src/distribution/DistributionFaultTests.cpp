#include "distribution/DistributionFixture.h"
#include "distribution/SourceTimes.h"

#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

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
    SharedRows rows(fixture.loop, daemon.rows, daemon.log, controlTable, {});
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
    SourceClient client(fixture.loop, connector, rows, lease, daemon.log, maxSourceAge(testConfigurationBound), { [] {}, [] {}, [] {}, [] {} });
    client.setCandidates({ { InstanceId("source"), { FailureDomainId("domain-0"), "source", 1, 2, 3, 0 }, true } });
    client.start();
    connector.callbacks.onLine(R"({"v":2,"kind":"grant","number":1,"duration_ms":1e12,"platform_age_ms":0})");
    CHECK(lease.isValid());
    fixture.run(2510);
    CHECK_FALSE(lease.isValid());
}

// The platform refuses a source, and the other sources of its failure domain do not answer. Its subscribers
// reach the platform, and have to be served by a change of configuration within six seconds.
TEST_CASE("subscribers of a source that the platform refuses receive a change within six seconds although no other source answers", "[distribution]")
{
    DistributionFixture fixture(40, 2);
    const size_t source = fixture.holderWithSubscribers();
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

// While the whole platform is away, all subscribers of a failure domain look for a way of their own.
TEST_CASE("77 subscribers whose sources have lost the platform make at most ten calls a second together", "[distribution]")
{
    DistributionFixture fixture(80, 1);
    fixture.run(10'000);
    REQUIRE(fixture.holders().size() == 3);
    for (auto& it : fixture.daemons)
        it->rows.isCut = true;
    const auto callsOfSubscribers = [&fixture] {
        uint64_t n = 0;
        for (const auto& it : fixture.daemons)
            n += it->role.isHolder() ? 0 : it->rows.calls;
        return n;
    };
    for (int window = 0; window < 15; ++window) {
        const uint64_t before = callsOfSubscribers();
        fixture.run(2000);
        CAPTURE(window);
        CHECK(callsOfSubscribers() - before <= 20);
    }
}

// Without the announcement each subscriber would read the leases itself, one every 200 ms.
TEST_CASE("the subscribers of a source that loses the platform follow the first of them that becomes a holder", "[distribution]")
{
    DistributionFixture fixture(80, 1);
    fixture.run(10'000);
    for (const size_t it : fixture.holders())
        fixture.daemons[it]->rows.isCut = true;
    fixture.run(6000);
    fixture.writeConfiguration(2);
    fixture.run(500);
    CHECK(fixture.countConfiguration(2) >= 77);
    // The sources that the platform refuses lose their own leases.
    CHECK(fixture.countValidLeases() >= 77);
}
