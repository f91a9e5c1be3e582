#include "base/VirtualLoop.h"
#include "checking/FaultCounts.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

/// A group of three targets whose history is written by hand.
struct HistoryBench {
    HistoryBench()
    {
        GroupConfiguration group;
        group.database = DatabaseId("db");
        for (const char* it : { "a", "b", "c" })
            group.targets.push_back({ TargetId(it), {}, FailureDomainId(it) });
        configuration.groups.push_back(group);
        targets.addGroup(group, {});
    }

    absl::StatusOr<TargetReply> run(const char* target, TargetOperation operation, const std::string& id, uint64_t number, Term term = Term(1))
    {
        TargetBatch batch;
        batch.operation = operation;
        batch.term = term;
        batch.ledgerKey = { OrganisationId("shop"), RequestId("1700000000000-s1-" + id), 1 };
        batch.statement = { "INSERT INTO records (key, value) VALUES ($1, $2)", { "s1", std::to_string(number) } };
        return targets.model(DatabaseId("db")).execute(TargetId(target), batch, connection);
    }

    ToldOutcome told(ResultCode code, const std::string& id, uint64_t number)
    {
        ToldOutcome outcome;
        outcome.database = DatabaseId("db");
        outcome.key = "s1";
        outcome.isWrite = true;
        outcome.write = number;
        outcome.code = code;
        outcome.request = RequestId("1700000000000-s1-" + id);
        return outcome;
    }

    FaultCounts count(const std::vector<ToldOutcome>& told = {}, const std::vector<Leaving>& leaving = {})
    {
        return countFaults(targets, configuration, told, leaving);
    }

    VirtualLoop loop;
    FakeTargets targets { loop };
    Configuration configuration;
    ModelTransaction connection;
};

}

TEST_CASE("a clean history counts nothing", "[checking]")
{
    HistoryBench bench;
    REQUIRE(bench.run("a", TargetOperation::Write, "1", 1).ok());
    ToldOutcome read = bench.told(ResultCode::Done, "2", 1);
    read.isWrite = false;
    read.seen = 1;
    const FaultCounts counts = bench.count({ bench.told(ResultCode::Done, "1", 1), read, bench.told(ResultCode::Overloaded, "3", 2) });
    CHECK(counts.doubled + counts.lost + counts.staleSessionReads + counts.ackedByReplaced + counts.falseNotRun + counts.mixedTransactions + counts.workToLeaving == 0);
}

TEST_CASE("each harm raises its own count", "[checking]")
{
    HistoryBench bench;
    SECTION("a write that ran twice")
    {
        REQUIRE(bench.run("a", TargetOperation::Write, "1#1", 1).ok());
        REQUIRE(bench.run("a", TargetOperation::Write, "1#2", 1).ok());
        CHECK(bench.count().doubled == 1);
    }
    SECTION("an acknowledged write that is gone")
    {
        CHECK(bench.count({ bench.told(ResultCode::Done, "1", 1) }).lost == 1);
    }
    SECTION("a write told as not run that ran")
    {
        REQUIRE(bench.run("a", TargetOperation::Write, "1", 1).ok());
        CHECK(bench.count({ bench.told(ResultCode::DeadlinePassed, "1", 1) }).falseNotRun == 1);
        CHECK(bench.count({ bench.told(ResultCode::OutcomeUnknown, "1", 1) }).falseNotRun == 0);
    }
    SECTION("a session that does not see its own write")
    {
        ToldOutcome read = bench.told(ResultCode::Done, "2", 3);
        read.isWrite = false;
        read.seen = 2;
        CHECK(bench.count({ read }).staleSessionReads == 1);
    }
    SECTION("a write acknowledged by a primary after its successor had begun")
    {
        bench.targets.model(DatabaseId("db")).setIsolated(TargetId("a"), true);
        for (const char* it : { "b", "c" })
            REQUIRE(bench.run(it, TargetOperation::Fence, "f", 0, Term(2)).ok());
        REQUIRE(bench.run("b", TargetOperation::Promote, "p", 0, Term(2)).ok());
        REQUIRE(bench.run("b", TargetOperation::Write, "1", 1, Term(2)).ok());
        bench.loop.advance(Milliseconds(10));
        REQUIRE(bench.run("a", TargetOperation::Write, "2", 2).ok());
        CHECK(bench.count({ bench.told(ResultCode::Done, "2", 2) }).ackedByReplaced == 1);
        CHECK(bench.count({ bench.told(ResultCode::Done, "1", 1) }).ackedByReplaced == 0);
    }
    SECTION("a transaction that holds another's statement")
    {
        REQUIRE(bench.run("a", TargetOperation::Begin, "1", 1).ok());
        REQUIRE(bench.run("a", TargetOperation::Continue, "2.2", 2).ok());
        REQUIRE(bench.run("a", TargetOperation::Commit, "1.2.3", 1).ok());
        CHECK(bench.count().mixedTransactions == 1);
    }
    SECTION("work sent to a target long after it began to leave")
    {
        const Leaving leaving { TargetId("a"), bench.loop.now() };
        REQUIRE(bench.run("a", TargetOperation::Write, "1", 1).ok());
        CHECK(bench.count({}, { leaving }).workToLeaving == 0);
        bench.loop.advance(Milliseconds(4000));
        REQUIRE(bench.run("a", TargetOperation::Write, "2", 2).ok());
        CHECK(bench.count({}, { leaving }).workToLeaving == 1);
    }
}
