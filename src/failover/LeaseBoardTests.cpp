#include "failover/LeaseBoard.h"

#include "base/VirtualLoop.h"
#include "platform_ports/FakeRows.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

struct BoardScene {
    VirtualLoop loop;
    FakeTables tables { loop };
    FakeRows rows { loop, tables };
    LeaseBoard board { loop, rows, InstanceId("daemon-0") };
    Instant platformTime;
    std::map<InstanceId, std::string> domains;

    BoardScene()
    {
        board.read([this](const absl::StatusOr<LeaseTable>& table) { platformTime = table->platformTime; });
        loop.advance(Milliseconds(10));
    }

    void addLease(int n, const std::string& domain, Milliseconds age)
    {
        const std::string name = "daemon-" + std::to_string(n);
        domains[InstanceId(name)] = domain;
        PeerAddresses addresses;
        addresses.failureDomain = FailureDomainId(domain);
        tables.put(leaseTable, name, encodeLeaseRow({ name, platformTime - age, Milliseconds(6000), addresses, 0 }));
    }

    std::set<InstanceId> voters()
    {
        board.read([](const absl::StatusOr<LeaseTable>&) {});
        loop.advance(Milliseconds(10));
        return board.votersFor(GroupId("group"));
    }
};

}

// Pattern: a failure domain that holds most daemons is cut off together with a primary.
TEST_CASE("no failure domain of three holds a majority of the jurors", "[failover]")
{
    BoardScene scene;
    for (int n = 0; n < 20; ++n)
        scene.addLease(n, "large", Milliseconds(1000));
    for (int n = 20; n < 25; ++n)
        scene.addLease(n, "small", Milliseconds(1000));
    for (int n = 25; n < 30; ++n)
        scene.addLease(n, "other", Milliseconds(1000));
    const auto voters = scene.voters();
    REQUIRE(voters.size() == 9);
    std::map<std::string, int> held;
    for (const auto& it : voters)
        ++held[scene.domains[it]];
    CHECK(held["large"] == 3);
    CHECK(held["small"] == 3);
    CHECK(held["other"] == 3);
}

TEST_CASE("a small fleet's jurors are the daemons heard lately", "[failover]")
{
    BoardScene scene;
    for (int n = 0; n < 6; ++n)
        scene.addLease(n, "domain", Milliseconds(n < 4 ? 1000 : 4000));
    CHECK(scene.voters().size() == 4);
    CHECK(scene.board.daemons() == 6);
}
