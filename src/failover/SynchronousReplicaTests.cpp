#include "failover/FailoverFixture.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

// Changes of primary where commits are acknowledged once a replica has received them: the target that is promoted has every one
// (review/7 to review/9).

namespace {

/// A group in use, whose commits wait for one replica.
void startWriting(FailoverFixture& fixture)
{
    fixture.setSynchronousReplicas(1);
    fixture.runWithTraffic(2500);
    REQUIRE(fixture.write(0) == RelayError::None);
}

/// Only "two" receives what is written from now on.
void leaveOneReplica(FailoverFixture& fixture)
{
    fixture.deafTargets.insert(TargetId("three"));
    fixture.runWithTraffic(500);
    REQUIRE(fixture.targets[TargetId("three")].received < fixture.targets[TargetId("two")].received);
}

}

// Guards against lost commits after a crash: the replica that had them was passed over because it was leaving (review/7).
TEST_CASE("a primary that crashed is replaced by the only complete replica although that is leaving", "[failover]")
{
    FailoverFixture fixture(3);
    startWriting(fixture);
    fixture.setLeaving("two");
    leaveOneReplica(fixture);
    fixture.targets[TargetId("one")].isDown = true;
    fixture.writeFromAllDaemons();
    fixture.run(2000);
    CHECK(fixture.lostCommits == 0);
    REQUIRE_FALSE(fixture.promotions.requests.empty());
    CHECK(fixture.promotions.requests.front().target == TargetId("two"));
    // The replica that stays receives again, and takes over as planned.
    fixture.deafTargets.clear();
    fixture.runWithTraffic(2500);
    CHECK(fixture.countDaemonsUsing("three") == 3);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.lostCommits == 0);
    CHECK(fixture.staleWrites == 0);
}
