#include "failover/SynchronousReplicaFixture.h"

using namespace parsleypaddle;

// Network partitions with the primary on one side, where commits are acknowledged once a replica has received them.

namespace {

/// The primary's failure domain is cut off, and a target is started in it.
class PartitionFixture : public SynchronousReplicaFixture {
public:
    PartitionFixture()
    {
        cutOffDomainOf("one");
        run(300);
        startTarget("four", "one");
        run(50);
        REQUIRE(write(0) == RelayError::None);
    }
};

}

// Guards against lost commits: they were acknowledged by a target that was started on the primary's side of a partition, and the marks of the
// replicas that were known outside were taken for those of all (issue 51).
TEST_CASE("no replica is promoted while the primary may have replicated to a target that cannot list itself", "[failover]")
{
    PartitionFixture fixture;
    fixture.runWithTraffic(9000);
    CHECK(fixture.promotions.requests.empty());
    CHECK(fixture.hasLogged(R"("disconnected":"daemon-0")"));
    SECTION("the primary is used again")
    {
        fixture.reconnectDomain();
        fixture.runWithTraffic(1500);
        CHECK(fixture.countDaemonsUsing("one") == 3);
        CHECK(fixture.promotions.requests.empty());
    }
    SECTION("the primary has ended, and the other target is promoted as soon as it is listed")
    {
        fixture.targets[TargetId("one")].isDown = true;
        fixture.reconnectDomain();
        fixture.runWithTraffic(6000);
        CHECK(fixture.countDaemonsUsing("four") == 3);
    }
    CHECK(fixture.lostCommits == 0);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.staleWrites == 0);
}

// Guards against lost commits: the daemon of the cut-off failure domain is back before its lease has expired, and the target is not listed yet
// (issue 51).
TEST_CASE("a daemon that was cut off for less than its lease counts only when the targets near it are listed", "[failover]")
{
    PartitionFixture fixture;
    fixture.run(3500);
    fixture.targets[TargetId("one")].isDown = true;
    fixture.reconnectDomain();
    fixture.runWithTraffic(6000);
    CHECK(fixture.countDaemonsUsing("four") == 3);
    CHECK(fixture.lostCommits == 0);
    CHECK(fixture.write(0) == RelayError::None);
}

// A daemon in the primary's failure domain shows that this was not cut off.
TEST_CASE("a crash beside a daemon that was killed waits for no longer than the lease of that daemon", "[failover]")
{
    SynchronousReplicaFixture fixture(6);
    fixture.daemons[0]->rows.isCut = true;
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(7500);
    const auto used = fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three");
    CHECK(used == 5);
    CHECK(fixture.lostCommits == 0);
}

// The evidence of an operator, of the old primary's log or of its successor's is not affected.
TEST_CASE("a primary that is reached from outside a partition needs no other evidence than its own log", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.daemons[0]->rows.isCut = true;
    fixture.setLeaving("one");
    fixture.runWithTraffic(8500);
    CHECK(fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three") >= 2);
    CHECK(fixture.lostCommits == 0);
}

// Guards against a wait that is longer than it must be: the entry of a primary that was cut off is back later than the primary.
TEST_CASE("a primary that is reached again is asked for its log although it is not listed", "[failover]")
{
    PartitionFixture fixture;
    fixture.run(3500);
    fixture.setListed("one", false);
    fixture.runWithTraffic(4000);
    CHECK(fixture.promotions.requests.empty());
    fixture.reconnectDomain(10'000);
    fixture.runWithTraffic(1500);
    CHECK(fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three") == 3);
    CHECK(fixture.lostCommits == 0);
}
