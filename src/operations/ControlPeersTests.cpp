#include "operations/ControlPeers.h"

#include "base/ResultCode.h"
#include "configuration/StoreFleet.h"
#include "control/ControlServer.h"
#include "operations/ControlHandlers.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

// One daemon's operations behind a real control server; the loop runs on the test's thread, which is also the caller's.
struct ControlFixture {
    ControlFixture()
        : fleet(1)
        , journal({})
        , loop(std::move(*PollLoop::create()))
        , workers(std::move(*WorkerPool::create(*loop, 2, 10)))
    {
        fleet.add(1);
        bool isAccepted = false;
        fleet.store(0).apply({}, "defaults: {deadline: 3s}", "test", [&isAccepted](const auto& version) { isAccepted = version.ok(); });
        fleet.loop.advance(Milliseconds(1000));
        REQUIRE(isAccepted);
        operations = std::make_unique<Operations>(OperationsPorts { fleet.store(0), journal, [] { return DaemonStatus(); }, [] {} });
        std::string error;
        server = ControlServer::create("127.0.0.1", 0, { "secret" }, controlHandlersOf(*loop, *operations, Milliseconds(5000)), error);
        REQUIRE(server);
    }

    ControlPeers peersWith(const std::string& key)
    {
        InstanceEntry self;
        self.instance = InstanceId("self");
        InstanceEntry other;
        other.instance = InstanceId("other");
        other.host = "127.0.0.1";
        other.controlPort = server->port();
        return { *workers, { self.instance, key }, [self, other] { return std::vector<InstanceEntry> { self, other }; } };
    }

    template <typename T, typename Start>
    absl::StatusOr<T> await(const Start& start)
    {
        absl::StatusOr<T> result = absl::CancelledError("no answer");
        loop->post([&] {
            start([&](absl::StatusOr<T> value) {
                result = std::move(value);
                loop->stop();
            });
        });
        loop->run();
        return result;
    }

    StoreFleet fleet;
    Journal journal;
    std::unique_ptr<PollLoop> loop;
    std::unique_ptr<WorkerPool> workers;
    std::unique_ptr<Operations> operations;
    std::unique_ptr<ControlServer> server;
};

}

TEST_CASE("digests and bodies pass between daemons over JSON-RPC", "[operations]")
{
    ControlFixture fixture;
    auto peers = fixture.peersWith("secret");
    CHECK(peers.pick(7) == InstanceId("other"));
    const auto digest = fixture.await<ConfigurationDigest>([&](auto done) { peers.exchange(InstanceId("other"), {}, done); });
    REQUIRE(digest.ok());
    CHECK(digest->version == ConfigurationVersion(1));
    const auto body = fixture.await<std::string>([&](auto done) { peers.fetch(InstanceId("other"), ConfigurationVersion(1), done); });
    REQUIRE(body.ok());
    CHECK(hashOf(*body) == digest->bodyHash);
    const auto none = fixture.await<std::string>([&](auto done) { peers.fetch(InstanceId("other"), ConfigurationVersion(5), done); });
    CHECK(resultCodeOf(none.status()) == ResultCode::UnknownResource);
}

TEST_CASE("a peer with a wrong key is refused, and an unknown one is not called", "[operations]")
{
    ControlFixture fixture;
    auto peers = fixture.peersWith("guess");
    const auto refused = fixture.await<ConfigurationDigest>([&](auto done) { peers.exchange(InstanceId("other"), {}, done); });
    CHECK(resultCodeOf(refused.status()) == ResultCode::KeyRefused);
    CHECK(fixture.server->refusedKeys() == 1);
    const auto unknown = fixture.await<ConfigurationDigest>([&](auto done) { peers.exchange(InstanceId("nobody"), {}, done); });
    CHECK(resultCodeOf(unknown.status()) == ResultCode::PeerUnreachable);
}
