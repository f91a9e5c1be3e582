#include "base/ResultCode.h"
#include "failover/PromotionDecision.h"
#include "failover/SynchronousReplicaFixture.h"

using namespace parsleypaddle;

namespace {

absl::Status decide(FailoverFixture& fixture, const std::string& target)
{
    absl::Status outcome = absl::UnknownError("no answer");
    decidePromotion(fixture.daemons[0]->rows, GroupId("group"), TargetId(target), [&outcome](const absl::Status& it) { outcome = it; });
    fixture.run(100);
    return outcome;
}

/// Only "two" has the last commits, and it cannot be reached when the primary crashes.
void crashBesideUnreachedReplica(SynchronousReplicaFixture& fixture)
{
    fixture.leaveOneReplica();
    fixture.targets[TargetId("two")].isSilent = true;
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(3000);
    REQUIRE(fixture.promotions.requests.empty());
}

}

TEST_CASE("a decision is decoded as it was encoded, and rejected if it lacks something", "[failover]")
{
    const auto decision = decodePromotionDecision(encodePromotionDecision({ TargetId("two"), Term(4) }));
    REQUIRE(decision.ok());
    CHECK(decision->target == TargetId("two"));
    CHECK(decision->term == Term(4));
    const std::string row = GENERATE(as<std::string> {}, "", "[]", "{}", R"({"target":"two"})", R"({"term":4})", R"({"target":"two","term":-1})");
    CAPTURE(row);
    CHECK_FALSE(decodePromotionDecision(row).ok());
}

TEST_CASE("an operator may decide to promote a target although the log of another one is missing", "[failover]")
{
    SynchronousReplicaFixture fixture;
    crashBesideUnreachedReplica(fixture);
    REQUIRE(decide(fixture, "three").ok());
    fixture.runWithTraffic(2000);
    CHECK(fixture.countDaemonsUsing("three") == 3);
    CHECK(fixture.tables.find(controlTable, promotionDecisionKey(GroupId("group"))) == nullptr);
}

TEST_CASE("a decision on another term promotes nothing", "[failover]")
{
    SynchronousReplicaFixture fixture;
    crashBesideUnreachedReplica(fixture);
    fixture.tables.put(controlTable, promotionDecisionKey(GroupId("group")), encodePromotionDecision({ TargetId("three"), fixture.record().term.next() }));
    fixture.runWithTraffic(2000);
    CHECK(fixture.promotions.requests.empty());
}

TEST_CASE("a decision is refused while no change of primary is waiting", "[failover]")
{
    SynchronousReplicaFixture fixture;
    CHECK(resultCodeOf(decide(fixture, "three")) == ResultCode::TermChanged);
    CHECK(fixture.tables.find(controlTable, promotionDecisionKey(GroupId("group"))) == nullptr);
    absl::Status outcome;
    decidePromotion(fixture.daemons[0]->rows, GroupId("other"), TargetId("three"), [&outcome](const absl::Status& it) { outcome = it; });
    fixture.run(100);
    CHECK(resultCodeOf(outcome) == ResultCode::NoPrimary);
}
