#include "failover/SynchronousReplicaFixture.h"

using namespace parsleypaddle;

// Planned changes of primary where commits are acknowledged once a replica has received them: the target that is promoted has every one
// (review/9).

// Guards against lost commits in a planned change: a replica was promoted that was known to lack some, as none had caught up in time (review/9).
TEST_CASE("a leaving primary is used until a replica that stays is close to it", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.setMaxLeavingTargetUse(Milliseconds(9000));
    fixture.leaveOneReplica();
    fixture.setLeaving("two");
    fixture.run(500);
    fixture.setLeaving("one");
    fixture.runWithTraffic(4000);
    CHECK(fixture.countDaemonsUsing("one") == 3);
    CHECK(fixture.write(0) == RelayError::None);
    fixture.deafTargets.clear();
    fixture.runWithTraffic(2000);
    CHECK(fixture.countDaemonsUsing("three") == 3);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.lostCommits == 0);
    CHECK(fixture.staleWrites == 0);
}

TEST_CASE("a leaving primary is used no longer than it may, and a replica is promoted when it has caught up", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.leaveOneReplica();
    fixture.targets[TargetId("two")].isDown = true;
    fixture.setLeaving("one");
    fixture.runWithTraffic(6000);
    CHECK(fixture.promotions.requests.empty());
    CHECK(fixture.write(0) == RelayError::Busy);
    fixture.deafTargets.clear();
    fixture.runWithTraffic(2000);
    CHECK(fixture.countDaemonsUsing("three") == 3);
    CHECK(fixture.lostCommits == 0);
}

// A replica is close when the change begins, and receives nothing afterwards.
TEST_CASE("a leaving primary is used again when no replica becomes complete after its release", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.setMaxLeavingTargetUse(Milliseconds(12'000));
    fixture.setLeaving("two");
    fixture.setLeaving("one");
    fixture.loop.runUntil([&fixture] { return fixture.record().phase == GroupPhase::Closing; }, Milliseconds(2000));
    REQUIRE(fixture.record().phase == GroupPhase::Closing);
    fixture.targets[TargetId("one")].received = fixture.targets[TargetId("one")].received.next();
    fixture.targets[TargetId("one")].applied = fixture.targets[TargetId("one")].received;
    fixture.deafTargets = { TargetId("two"), TargetId("three") };
    fixture.run(4000);
    CHECK(fixture.promotions.requests.empty());
    CHECK(fixture.countDaemonsUsing("one") == 3);
    fixture.deafTargets.clear();
    fixture.runWithTraffic(2000);
    CHECK(fixture.countDaemonsUsing("three") == 3);
    CHECK(fixture.lostCommits == 0);
}

// Guards against evidence that only one process has: the owner of the change and the old primary end after the primary's log was read.
TEST_CASE("the end of the old primary's log outlives the primary and the owner of the change", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.leaveOneReplica();
    fixture.targets[TargetId("two")].isSilent = true;
    fixture.setLeaving("one");
    fixture.run(3000);
    fixture.loop.runUntil([&fixture] { return fixture.record().lastMark.has_value(); }, Milliseconds(4000));
    REQUIRE(fixture.record().lastMark.has_value());
    fixture.deafTargets.clear();
    fixture.run(40);
    REQUIRE(fixture.targets[TargetId("three")].received == fixture.targets[TargetId("one")].received);
    fixture.targets[TargetId("one")].isDown = true;
    fixture.restart(static_cast<size_t>(fixture.record().owner.value().back() - '0'), 300);
    fixture.runWithTraffic(10'000);
    CHECK(fixture.countDaemonsUsing("three") == 3);
    CHECK(fixture.lostCommits == 0);
    CHECK(fixture.promotions.areFencingTokensOrdered());
}

// Guards against a wait without end: the old primary leaves while no replica has its whole log, and another target is started in its place.
TEST_CASE("the log of an old primary that has left is that of the target which takes its place at its address", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.leaveOneReplica();
    fixture.targets[TargetId("two")].isSilent = true;
    fixture.setLeaving("one");
    fixture.runWithTraffic(4000);
    CHECK(fixture.promotions.requests.empty());
    fixture.replaceTarget("one", "four");
    fixture.deafTargets.clear();
    fixture.runWithTraffic(3000);
    CHECK(fixture.countDaemonsUsing("four") == 3);
    CHECK(fixture.lostCommits == 0);
    CHECK(fixture.write(0) == RelayError::None);
}

// Guards against a primary that moves to and fro: one leaving target took the place of another one, each time with a gap, while the replica that stays
// received nothing (issue 51).
TEST_CASE("two targets that leave do not replace each other again and again", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.setMaxLeavingTargetUse(Milliseconds(9000));
    fixture.leaveOneReplica();
    fixture.setLeaving("two");
    fixture.run(500);
    fixture.setLeaving("one");
    fixture.run(300);
    SECTION("daemons that are started again learn since when the primary leaves, and use it")
    {
        for (size_t n = 0; n < fixture.daemons.size(); ++n) {
            fixture.restart(n, 300);
            fixture.runWithTraffic(500);
        }
        CHECK(fixture.countDaemonsUsing("one") == 3);
        CHECK(fixture.write(0) == RelayError::None);
        CHECK(fixture.promotions.requests.empty());
    }
    SECTION("when the time of the primary is over, the other one is no better")
    {
        fixture.runWithTraffic(9000);
        CHECK(fixture.promotions.requests.empty());
    }
    fixture.deafTargets.clear();
    fixture.runWithTraffic(2000);
    CHECK(fixture.countDaemonsUsing("three") == 3);
    CHECK(fixture.promotions.requests.size() == 1);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.lostCommits == 0);
}

TEST_CASE("a target that leaves later takes the place of one whose time is over, once", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.setMaxLeavingTargetUse(Milliseconds(7000));
    fixture.leaveOneReplica();
    fixture.setLeaving("one");
    fixture.runWithTraffic(2500);
    fixture.setLeaving("two");
    // The primary may be used for 4 s.
    fixture.runWithTraffic(2500);
    CHECK(fixture.countDaemonsUsing("two") == 3);
    CHECK(fixture.write(0) == RelayError::None);
    fixture.runWithTraffic(6000);
    CHECK(fixture.promotions.requests.size() == 1);
    CHECK(fixture.lostCommits == 0);
}
