#include "failover/SynchronousReplicaFixture.h"

using namespace parsleypaddle;

// Changes of primary where commits are acknowledged once a replica has received them: the target that is promoted has every one
// (review/7 to review/9).

// Guards against lost commits after a crash: the replica that had them was passed over because it was leaving (review/7).
TEST_CASE("a primary that crashed is replaced by the only complete replica although that is leaving", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.setMaxLeavingTargetUse(Milliseconds(12'000));
    fixture.setLeaving("two");
    fixture.leaveOneReplica();
    fixture.targets[TargetId("one")].isDown = true;
    fixture.writeFromAllDaemons();
    fixture.run(2000);
    CHECK(fixture.lostCommits == 0);
    CHECK(fixture.countDaemonsUsing("two") == 3);
    // The replica that stays receives again, and takes over as planned.
    fixture.deafTargets.clear();
    fixture.runWithTraffic(2500);
    CHECK(fixture.countDaemonsUsing("three") == 3);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.lostCommits == 0);
    CHECK(fixture.staleWrites == 0);
}

// Guards against lost commits after a crash: the replica that had them could not be reached and was not waited for (review/8).
TEST_CASE("no replica is promoted while another one, which cannot be reached, may have received more", "[failover]")
{
    const bool isUnlisted = GENERATE(false, true);
    CAPTURE(isUnlisted);
    SynchronousReplicaFixture fixture;
    fixture.leaveOneReplica();
    fixture.targets[TargetId("two")].isSilent = true;
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(3000);
    if (isUnlisted)
        fixture.setListed("two", false);
    fixture.runWithTraffic(2500);
    CHECK(fixture.promotions.requests.empty());
    CHECK(fixture.hasLogged("promotion_awaits_logs"));
    CHECK(fixture.hasLogged(R"("missing":"two")"));
    fixture.deafTargets.clear();
    fixture.targets[TargetId("two")].isSilent = false;
    if (isUnlisted)
        fixture.setListed("two", true);
    fixture.runWithTraffic(2500);
    CHECK(fixture.lostCommits == 0);
    CHECK(fixture.countDaemonsUsing("two") == 3);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.staleWrites == 0);
}

TEST_CASE("a primary that is back with its log is used again while the log of a replica is missing", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.leaveOneReplica();
    fixture.targets[TargetId("two")].isSilent = true;
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(3000);
    fixture.targets[TargetId("one")].isDown = false;
    fixture.deafTargets.clear();
    fixture.runWithTraffic(1500);
    CHECK(fixture.promotions.requests.empty());
    CHECK(fixture.countDaemonsUsing("one") == 3);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.lostCommits == 0);
}

// A replica that has ended as planned is not waited for for ever.
TEST_CASE("a target that has ended does not count once another replica has received all that the primary had after that", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.setLeaving("two");
    fixture.runWithTraffic(500);
    fixture.targets[TargetId("two")].isDown = true;
    fixture.setListed("two", false);
    fixture.runWithTraffic(4000);
    CHECK(fixture.hasLogged(R"("removed":"two")"));
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(2500);
    CHECK(fixture.countDaemonsUsing("three") == 3);
    CHECK(fixture.lostCommits == 0);
}

TEST_CASE("a target that has ended counts as long as no other replica has received what it had", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.leaveOneReplica();
    fixture.setLeaving("two");
    fixture.run(100);
    fixture.targets[TargetId("two")].isDown = true;
    fixture.setListed("two", false);
    fixture.run(4000);
    CHECK_FALSE(fixture.hasLogged(R"("removed":"two")"));
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(4000);
    CHECK(fixture.promotions.requests.empty());
    fixture.targets[TargetId("one")].isDown = false;
    fixture.deafTargets.clear();
    fixture.runWithTraffic(1500);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.lostCommits == 0);
}

// Guards against a primary that is used without its log: it was started again and holds nothing of before.
TEST_CASE("a primary that is back without its log is not used again", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.leaveOneReplica();
    fixture.targets[TargetId("two")].isSilent = true;
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(2500);
    // It replicates its empty log to nobody.
    fixture.deafTargets.insert(TargetId("two"));
    fixture.targets[TargetId("one")].received = LogPosition(0);
    fixture.targets[TargetId("one")].applied = LogPosition(0);
    fixture.targets[TargetId("one")].isDown = false;
    fixture.run(2000);
    CHECK(fixture.promotions.requests.empty());
    CHECK(fixture.countDaemonsUsing("one") == 0);
    fixture.targets[TargetId("two")].isSilent = false;
    fixture.run(1500);
    CHECK(fixture.countDaemonsUsing("two") == 3);
    CHECK(fixture.lostCommits == 0);
}

TEST_CASE("a change that began while commits waited for a replica needs evidence although they no longer do", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.leaveOneReplica();
    fixture.targets[TargetId("two")].isSilent = true;
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(2500);
    fixture.setSynchronousReplicas(0);
    fixture.runWithTraffic(2000);
    CHECK(fixture.promotions.requests.empty());
    fixture.targets[TargetId("two")].isSilent = false;
    fixture.runWithTraffic(2000);
    CHECK(fixture.countDaemonsUsing("two") == 3);
    CHECK(fixture.lostCommits == 0);
}

// Guards against a wait without end: the only complete replica leaves while its log is waited for, and another target is started in its place.
TEST_CASE("the log of a target that has left is that of the target which takes its place at its address", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.leaveOneReplica();
    fixture.setLeaving("two");
    fixture.run(100);
    fixture.targets[TargetId("one")].isDown = true;
    fixture.targets[TargetId("two")].isSilent = true;
    fixture.runWithTraffic(4000);
    fixture.replaceTarget("two", "four");
    fixture.deafTargets.clear();
    fixture.runWithTraffic(3000);
    CHECK(fixture.countDaemonsUsing("four") == 3);
    CHECK(fixture.lostCommits == 0);
    CHECK(fixture.write(0) == RelayError::None);
}

// Guards against lost commits: a replica that was started again, without the log that it had acknowledged, passes for one that never had more.
TEST_CASE("a replica that has lost its log is not evidence, also for a daemon that did not see its restart", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.leaveOneReplica();
    fixture.targets[TargetId("one")].isDown = true;
    fixture.targets[TargetId("two")].isDown = true;
    fixture.restartWithoutLog("two");
    fixture.restart(0, 50);
    fixture.runWithTraffic(8000);
    CHECK(fixture.promotions.requests.empty());
    CHECK(fixture.hasLogged("two 1.0 restarted"));
    fixture.targets[TargetId("one")].isDown = false;
    fixture.runWithTraffic(2500);
    CHECK(fixture.countDaemonsUsing("one") == 3);
    CHECK(fixture.lostCommits == 0);
}

// Guards against lost commits: the start is in the target's entry, and was forgotten with it.
TEST_CASE("a replica that has lost its log is not evidence after it has left the list", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.leaveOneReplica();
    fixture.targets[TargetId("one")].isDown = true;
    fixture.targets[TargetId("two")].isDown = true;
    fixture.run(1000);
    fixture.restartWithoutLog("two");
    fixture.run(1500);
    fixture.setListed("two", false);
    fixture.runWithTraffic(5000);
    CHECK(fixture.promotions.requests.empty());
    fixture.targets[TargetId("one")].isDown = false;
    fixture.runWithTraffic(2500);
    CHECK(fixture.countDaemonsUsing("one") == 3);
    CHECK(fixture.lostCommits == 0);
}

// Guards against lost commits: a call for a promotion is repeated for a candidate that was started again, without its log, since the first one.
TEST_CASE("a call for a promotion is not repeated when the candidate has lost its log", "[failover]")
{
    SynchronousReplicaFixture fixture;
    fixture.leaveOneReplica();
    fixture.promotions.losesAnswers = true;
    fixture.promotions.hasNoEffect = true;
    fixture.targets[TargetId("one")].isDown = true;
    fixture.writeFromAllDaemons();
    fixture.loop.runUntil([&fixture] { return !fixture.promotions.requests.empty(); }, Milliseconds(3000));
    REQUIRE(fixture.promotions.requests.size() == 1);
    REQUIRE(fixture.promotions.requests.front().target == TargetId("two"));
    fixture.run(400);
    fixture.restartWithoutLog("two");
    fixture.promotions.hasNoEffect = false;
    fixture.promotions.losesAnswers = false;
    fixture.runWithTraffic(5000);
    CHECK(fixture.promotions.requests.size() == 1);
    CHECK(fixture.lostCommits == 0);
    // The call may still be carried out, so the old primary is used only when it can't be any more.
    fixture.targets[TargetId("one")].isDown = false;
    fixture.runWithTraffic(15'000);
    CHECK(fixture.lostCommits == 0);
}
