#include "failover/LeaseMonitor.h"

#include "base/VirtualLoop.h"
#include "platform_ports/FakeRows.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

struct LeaseMonitorFixture {
    VirtualLoop loop;
    FakeTables tables { loop };
    FakeRows rows { loop, tables };
    LeaseMonitor leaseMonitor { loop, rows, rows, InstanceId("daemon-0") };
    Instant platformTime;
    std::map<InstanceId, std::string> domains;

    LeaseMonitorFixture()
    {
        leaseMonitor.read([this](const absl::StatusOr<LeaseTable>& table) { platformTime = table->platformTime; });
        loop.advance(Milliseconds(10));
    }

    void addLease(int n, const std::string& domain, Milliseconds age)
    {
        const std::string name = "daemon-" + std::to_string(n);
        domains[InstanceId(name)] = domain;
        PeerEndpoint addresses;
        addresses.failureDomain = FailureDomainId(domain);
        tables.put(leaseTable, name, encodeLeaseRow({ name, platformTime - age, Milliseconds(6000), addresses, 0 }));
    }

    std::set<InstanceId> voters()
    {
        leaseMonitor.read([](const absl::StatusOr<LeaseTable>&) {});
        loop.advance(Milliseconds(10));
        return leaseMonitor.votersFor(GroupId("group"));
    }
};

}

// A failure domain that holds most of the daemons may be cut off together with the primary. If it also held a majority of
// the voters, the daemons of the other domains could not replace the primary.
TEST_CASE("none of three failure domains holds a majority of the voters, even if one has most of the daemons", "[failover]")
{
    LeaseMonitorFixture fixture;
    for (int n = 0; n < 20; ++n)
        fixture.addLease(n, "large", Milliseconds(1000));
    for (int n = 20; n < 25; ++n)
        fixture.addLease(n, "small", Milliseconds(1000));
    for (int n = 25; n < 30; ++n)
        fixture.addLease(n, "other", Milliseconds(1000));
    const auto voters = fixture.voters();
    REQUIRE(voters.size() == 9);
    std::map<std::string, int> votersByDomain;
    for (const auto& it : voters)
        ++votersByDomain[fixture.domains[it]];
    CHECK(votersByDomain["large"] == 3);
    CHECK(votersByDomain["small"] == 3);
    CHECK(votersByDomain["other"] == 3);
}

TEST_CASE("in a small fleet all daemons that renewed their leases recently are voters", "[failover]")
{
    LeaseMonitorFixture fixture;
    for (int n = 0; n < 6; ++n)
        fixture.addLease(n, "domain", Milliseconds(n < 4 ? 1000 : 4000));
    CHECK(fixture.voters().size() == 4);
    CHECK(fixture.leaseMonitor.liveDaemonCount() == 6);
}

// After the platform has returned from a copy, the leases are read in another era than that of the change.
TEST_CASE("leases of another era do not show that a primary was released", "[restored]")
{
    const auto inEra = [](uint64_t era, uint64_t number) { return RowVersion(PlatformEra(era), number); };
    LeaseTable table;
    table.platformTime = Instant(1000);
    table.version = inEra(2, 9);
    table.entries.push_back({ InstanceId("one"), { "first", Instant(900), Milliseconds(6000), {}, 0 }, inEra(2, 8) });
    CHECK(table.isReleasedByAll(inEra(2, 7)));
    CHECK_FALSE(table.isReleasedByAll(inEra(2, 8)));
    CHECK_FALSE(table.isReleasedByAll(inEra(1, 7)));
}

// All leases of a copy have expired. Without the delay a large fleet would lose its list of homes until the next periodic read.
TEST_CASE("the list of live daemons stays as it is until the holders have renewed their leases after a return from a copy", "[restored]")
{
    LeaseMonitorFixture fixture;
    for (int n = 1; n < 6; ++n)
        fixture.addLease(n, "north", Milliseconds(9000));
    const FakeTables::Copy copy = fixture.tables.copy();
    for (int n = 1; n < 6; ++n)
        fixture.addLease(n, "north", Milliseconds(0));
    fixture.voters();
    REQUIRE(fixture.leaseMonitor.liveDaemonCount() == 6);
    fixture.tables.restore(copy);
    fixture.voters();
    CHECK(fixture.leaseMonitor.liveDaemonCount() == 6);
    fixture.addLease(1, "north", Milliseconds(0));
    fixture.loop.advance(Milliseconds(3000));
    CHECK(fixture.leaseMonitor.liveDaemonCount() == 2);
}
