#include "acknowledgement/GroupControl.h"

#include "base/ResultCode.h"
#include "base/VirtualLoop.h"
#include "standins/FakeTargets.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

const TargetId targetA("db-a");
const TargetId targetB("db-b");
const TargetId targetC("db-c");

GroupConfiguration controlledGroup()
{
    GroupConfiguration group;
    group.database = DatabaseId("db");
    group.slots = 5;
    group.connections = 35;
    group.targets.push_back({ targetA, {}, FailureDomainId("plateau") });
    group.targets.push_back({ targetB, {}, FailureDomainId("yoff") });
    group.targets.push_back({ targetC, {}, FailureDomainId("hann") });
    return group;
}

TargetBatch controlBatch(TargetOperation operation, Term term)
{
    TargetBatch batch;
    batch.operation = operation;
    batch.term = term;
    return batch;
}

/// A group of three targets and the GroupControl of one daemon.
struct ControlledGroup {
    ControlledGroup()
    {
        targets.addGroup(group, FakeTargetSettings());
        connector = targets.connectorIn(FailureDomainId("plateau"));
        control = GroupControl::create(loop, *connector, group, GroupControlSettings());
        loop.advance(Milliseconds(100));
    }

    GroupModel& model() { return targets.model(group.database); }

    LogPosition commit(Term term)
    {
        auto batch = controlBatch(TargetOperation::Write, term);
        batch.ledgerKey = { OrganisationId("shop"), RequestId(std::to_string(++commits)), 1 };
        batch.statement = { "INSERT INTO records (key, value) VALUES ($1, $2)", { "key", "value" } };
        ModelTransaction connection;
        return model().execute(targetA, batch, connection)->status.position;
    }

    void confirm(Term term, LogPosition position, AckRule rule, Milliseconds timeout = Milliseconds(1000))
    {
        control->confirm(term, position, rule, loop.now() + timeout, [this](const auto& result) {
            confirmed = result;
            confirmedAt = loop.now();
        });
    }

    void fence(const TargetId& target, Term term)
    {
        ModelTransaction connection;
        REQUIRE(model().execute(target, controlBatch(TargetOperation::Fence, term), connection).ok());
    }

    VirtualLoop loop;
    FakeTargets targets { loop };
    GroupConfiguration group = controlledGroup();
    std::unique_ptr<TargetConnector> connector;
    std::unique_ptr<GroupControl> control;
    std::optional<absl::StatusOr<AckLevel>> confirmed;
    Instant confirmedAt;
    int commits { 0 };
};

}

TEST_CASE("group control finds the primary and keeps one connection to each target", "[acknowledgement]")
{
    ControlledGroup it;
    CHECK(it.control->view().primary == targetA);
    CHECK(it.control->view().term == Term(1));
    CHECK(it.control->isPrimaryConfirmedByMajority(Milliseconds(200)));
    it.loop.advance(Milliseconds(5000));
    for (const auto& target : it.group.targets)
        CHECK(it.targets.mostConnections(target.id) == 1);
}

TEST_CASE("a commit is confirmed at the level that its rule requires", "[acknowledgement]")
{
    ControlledGroup it;
    it.model().setReplication(targetB, Milliseconds(50), Milliseconds(0));
    it.model().setReplication(targetC, Milliseconds(400), Milliseconds(0));
    const LogPosition position = it.commit(Term(1));
    const Instant committedAt = it.loop.now();

    SECTION("term confirmed, before any replica has the commit")
    {
        it.confirm(Term(1), position, AckRule::TermConfirmed);
        it.loop.advance(Milliseconds(20));
        REQUIRE(it.confirmed);
        CHECK(**it.confirmed == AckLevel::TermConfirmed);
        CHECK(it.control->ackLevelAt(Term(1), position) == AckLevel::TermConfirmed);
    }
    SECTION("replicated, once the faster replica has the commit")
    {
        it.confirm(Term(1), position, AckRule::Replicated);
        it.loop.advance(Milliseconds(100));
        REQUIRE(it.confirmed);
        CHECK(**it.confirmed == AckLevel::Replicated);
        CHECK(it.confirmedAt - committedAt >= Milliseconds(50));
        CHECK(it.confirmedAt - committedAt <= Milliseconds(75));
    }
    SECTION("an error at the deadline, although the term is already confirmed")
    {
        it.confirm(Term(1), position, AckRule::Replicated, Milliseconds(30));
        it.loop.advance(Milliseconds(40));
        REQUIRE(it.confirmed);
        CHECK(resultCodeOf(it.confirmed->status()) == ResultCode::NotConfirmed);
        CHECK(it.control->ackLevelAt(Term(1), position) == AckLevel::TermConfirmed);
    }
}

TEST_CASE("a commit of a primary whose majority was fenced is never confirmed", "[acknowledgement]")
{
    ControlledGroup it;
    it.model().setIsolated(targetA, true);
    const LogPosition position = it.commit(Term(1));
    it.fence(targetB, Term(2));
    it.fence(targetC, Term(2));
    const auto rule = GENERATE(AckRule::TermConfirmed, AckRule::Replicated);
    it.confirm(Term(1), position, rule);
    it.loop.advance(Milliseconds(100));
    REQUIRE(it.confirmed);
    CHECK(resultCodeOf(it.confirmed->status()) == ResultCode::TermChanged);
    CHECK(it.control->view().primary.isEmpty());
}

TEST_CASE("answers from before a commit do not confirm its term", "[acknowledgement]")
{
    ControlledGroup it;
    for (const auto& target : { targetB, targetC })
        it.targets.setCut(FailureDomainId("plateau"), target, true);
    it.confirm(Term(1), it.commit(Term(1)), AckRule::TermConfirmed);
    it.loop.advance(Milliseconds(2000));
    REQUIRE(it.confirmed);
    CHECK(resultCodeOf(it.confirmed->status()) == ResultCode::NotConfirmed);
}

TEST_CASE("a fenced target with a long log of an older term does not count as holding a new commit", "[acknowledgement]")
{
    ControlledGroup it;
    it.model().setIsolated(targetB, true);
    it.model().setReplication(targetC, Milliseconds(1), Milliseconds(0));
    for (int i = 0; i < 3; ++i)
        it.commit(Term(1));
    it.loop.advance(Milliseconds(10));
    it.model().setIsolated(targetA, true);
    it.model().setIsolated(targetC, true);
    it.fence(targetC, Term(2));
    it.fence(targetB, Term(2));
    ModelTransaction connection;
    REQUIRE(it.model().execute(targetB, controlBatch(TargetOperation::Promote, Term(2)), connection).ok());
    // The old primary still answers this daemon, so the new one is found only by the less frequent queries to replicas.
    it.loop.advance(Milliseconds(2100));
    REQUIRE(it.control->view().primary == targetB);
    REQUIRE(it.control->view().find(targetC)->status.position == LogPosition(3));
    CHECK(it.control->ackLevelAt(Term(2), LogPosition(1)) != AckLevel::Replicated);
}

TEST_CASE("all waiting commits are confirmed together within 10 ms", "[acknowledgement]")
{
    ControlledGroup it;
    int n = 0;
    constexpr int commits = 500;
    for (int i = 0; i < commits; ++i) {
        it.control->confirm(Term(1), it.commit(Term(1)), AckRule::Replicated, it.loop.now() + Milliseconds(1000), [&](const auto& result) { n += result.ok() ? 1 : 0; });
    }
    it.loop.advance(Milliseconds(10));
    CHECK(n == commits);
}

TEST_CASE("the primary's position is given only with a majority on its term", "[acknowledgement]")
{
    ControlledGroup it;
    const LogPosition position = it.commit(Term(1));
    std::optional<absl::StatusOr<PrimaryPosition>> found;
    const auto query = [&] { it.control->queryPrimaryPosition(it.loop.now() + Milliseconds(200), [&](const auto& result) { found = result; }); };

    SECTION("all targets can be reached")
    {
        query();
        it.loop.advance(Milliseconds(20));
        REQUIRE(found);
        REQUIRE(found->ok());
        CHECK((*found)->position == position);
        CHECK((*found)->term == Term(1));
    }
    SECTION("only the primary can be reached")
    {
        it.targets.setCut(FailureDomainId("plateau"), targetB, true);
        it.targets.setCut(FailureDomainId("plateau"), targetC, true);
        query();
        it.loop.advance(Milliseconds(300));
        REQUIRE(found);
        CHECK(resultCodeOf(found->status()) == ResultCode::NoPrimary);
    }
    SECTION("a majority is on a later term")
    {
        it.fence(targetB, Term(2));
        it.fence(targetC, Term(2));
        query();
        it.loop.advance(Milliseconds(300));
        REQUIRE(found);
        CHECK(resultCodeOf(found->status()) == ResultCode::NoPrimary);
    }
}

TEST_CASE("a silent connection is replaced and its target is not marked as suspect", "[acknowledgement]")
{
    ControlledGroup it;
    bool wasSuspect = false;
    it.control->addChangeObserver([&](const GroupView& view) { wasSuspect = wasSuspect || view.find(targetA)->isSuspect; });
    it.targets.silenceConnections(targetA);
    const Instant silentAt = it.loop.now();
    const auto hasAnsweredAgain = [&] { return it.control->view().find(targetA)->lastAnswerAt > silentAt + Milliseconds(10); };
    REQUIRE(it.loop.runUntil(hasAnsweredAgain, Milliseconds(700)));
    it.loop.advance(Milliseconds(1000));
    CHECK_FALSE(wasSuspect);
    CHECK(it.targets.openConnections(targetA) == 1);
}

TEST_CASE("a target is suspect when new connections fail too, and no longer once it answers", "[acknowledgement]")
{
    ControlledGroup it;
    SECTION("the target is frozen")
    {
        it.targets.setFrozen(targetA, true);
        it.loop.advance(Milliseconds(1000));
        CHECK(it.control->view().find(targetA)->isSuspect);
        it.targets.setFrozen(targetA, false);
    }
    SECTION("the target is down")
    {
        it.targets.setDown(targetA, true);
        it.loop.advance(Milliseconds(1000));
        CHECK(it.control->view().find(targetA)->isSuspect);
        it.targets.setDown(targetA, false);
    }
    it.loop.advance(Milliseconds(1000));
    CHECK_FALSE(it.control->view().find(targetA)->isSuspect);
}

TEST_CASE("replicas of a healthy group are queried less often than its primary, and all targets are queried often while the primary is silent", "[acknowledgement]")
{
    ControlledGroup it;
    it.loop.advance(Milliseconds(1000));
    Milliseconds maximumPrimarySilence;
    Milliseconds maximumReplicaSilence;
    for (int n = 0; n < 500; ++n) {
        it.loop.advance(Milliseconds(10));
        maximumPrimarySilence = std::max(maximumPrimarySilence, it.loop.now() - it.control->view().find(targetA)->lastAnswerAt);
        maximumReplicaSilence = std::max(maximumReplicaSilence, it.loop.now() - it.control->view().find(targetB)->lastAnswerAt);
    }
    CHECK(maximumPrimarySilence < Milliseconds(300));
    CHECK(maximumReplicaSilence > Milliseconds(1000));
    CHECK(maximumReplicaSilence < Milliseconds(2500));

    // The frozen target becomes suspect after at most one heartbeat interval, one answer timeout and one connect timeout.
    it.targets.setFrozen(targetA, true);
    it.loop.advance(Milliseconds(250 + 300 + 300 + 20));
    const Instant now = it.loop.now();
    CHECK(it.control->view().find(targetA)->isSuspect);
    for (const auto& target : { targetB, targetC })
        CHECK(now - it.control->view().find(target)->lastAnswerAt < Milliseconds(100));
}
