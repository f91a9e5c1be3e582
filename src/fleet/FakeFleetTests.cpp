#include "fleet/ExampleFleet.h"

using namespace parsleypaddle;

TEST_CASE("a session's write through one daemon is read through another", "[fleet]")
{
    ExampleFleet example;
    const auto written = example.ask(0, example.write("w1"));
    REQUIRE(written.code == ResultCode::Done);
    CHECK(written.ackLevel == AckLevel::Replicated);

    auto read = example.read("r1");
    SECTION("with its token") { read.token = written.token; }
    SECTION("without a token") { }
    const auto answer = example.ask(1, read);
    REQUIRE(answer.code == ResultCode::Done);
    REQUIRE(answer.rows.values.size() == 1);
    CHECK(answer.rows.values[0][0] == "w1");
}

TEST_CASE("a write sent twice through two daemons runs once", "[fleet]")
{
    ExampleFleet example;
    const auto request = example.write("w1");
    CHECK(example.ask(0, request).code == ResultCode::Done);
    CHECK(example.ask(2, request).code == ResultCode::DoneEarlier);
    CHECK(example.targets.model(orders).survivingLog().size() == 1);
}

TEST_CASE("a primary that goes silent is replaced within two seconds and writes go on", "[fleet]")
{
    ExampleFleet example;
    REQUIRE(example.ask(0, example.write("w1")).code == ResultCode::Done);
    example.targets.setFrozen(TargetId("orders-1-a"), true);
    const Instant cutAt = example.loop.now();
    const auto answer = example.ask(1, example.write("w2"));
    REQUIRE(answer.outcome() == Outcome::Done);
    CHECK(example.loop.now() - cutAt < Milliseconds(2000));
    CHECK(answer.target != TargetId("orders-1-a"));

    example.targets.setFrozen(TargetId("orders-1-a"), false);
    example.loop.advance(Milliseconds(1000));
    const auto records = example.targets.model(orders).survivingRecords();
    CHECK(records.at("k") == "w2");
}

TEST_CASE("a transaction commits all of its statements at once", "[fleet]")
{
    ExampleFleet example;
    auto begin = example.write("t1");
    begin.transaction = TransactionPart { TransactionStep::Begin, {} };
    const auto begun = example.ask(0, begin);
    REQUIRE(begun.code == ResultCode::Done);
    CHECK(example.targets.model(orders).survivingLog().empty());

    auto commit = example.write("t2");
    commit.statement = {};
    commit.transaction = TransactionPart { TransactionStep::Commit, begun.transaction };
    const auto committed = example.ask(1, commit);
    INFO(committed.message);
    CHECK(committed.code == ResultCode::Done);
    CHECK(example.targets.model(orders).survivingRecords().at("k") == "t1");
    CHECK(example.ask(2, commit).code == ResultCode::DoneEarlier);
}

TEST_CASE("an answer lost after its effect is settled, and the write ran once", "[fleet]")
{
    ExampleFleet example;
    example.targets.loseNextAnswer(TargetId("orders-1-a"), TargetOperation::Write);
    CHECK(example.ask(0, example.write("w1")).outcome() == Outcome::Done);
    CHECK(example.targets.model(orders).survivingLog().size() == 1);
}

TEST_CASE("a refusal of a request that was sent before covers the earlier times too", "[fleet]")
{
    ExampleFleet example;
    auto again = example.write("w1");
    again.statement.text = "DROP TABLE records";
    SECTION("the first time it is told as it came")
    {
        CHECK(example.ask(0, again).code == ResultCode::StatementFailed);
        CHECK(example.targets.model(orders).survivingLog().empty());
    }
    SECTION("a later time it is settled, so that no earlier copy can still run")
    {
        again.attempt = 2;
        CHECK(example.ask(0, again).code == ResultCode::RequestSettled);
        auto lateCopy = again;
        lateCopy.attempt = 1;
        lateCopy.statement = example.write("w1").statement;
        CHECK(example.ask(1, lateCopy).code == ResultCode::RequestSettled);
        CHECK(example.targets.model(orders).survivingRecords().empty());
    }
}

TEST_CASE("a request without a deadline has the configuration's", "[fleet]")
{
    ExampleFleet example;
    for (const char* it : { "orders-1-a", "orders-1-b", "orders-1-c" })
        example.targets.setFrozen(TargetId(it), true);
    StatementRequest write = example.write("w");
    write.deadline = Instant();
    const Instant sent = example.loop.now();
    CHECK(example.ask(0, write).outcome() != Outcome::Done);
    CHECK(example.loop.now() - sent <= Milliseconds(2000));
    for (const char* it : { "orders-1-a", "orders-1-b", "orders-1-c" })
        example.targets.setFrozen(TargetId(it), false);
    example.loop.advance(Milliseconds(5000));
    write.attempt = 2;
    CHECK(example.ask(0, write).outcome() == Outcome::Done);
}

TEST_CASE("a primary that only its own failure domain lost is reached through the others", "[fleet]")
{
    ExampleFleet example;
    const TargetId primary("orders-1-a");
    REQUIRE(example.ask(0, example.write("w1")).target == primary);
    example.targets.setCut(FailureDomainId("a"), primary, true);
    const size_t entry = GENERATE(0U, 1U);
    for (int n = 0; n < 5; ++n) {
        const Instant sentAt = example.loop.now();
        const auto answer = example.ask(entry, example.write("after-" + std::to_string(n)));
        INFO("write " << n << " through daemon " << entry << ": " << answer.message);
        CHECK(answer.outcome() == Outcome::Done);
        CHECK(answer.target == primary);
        CHECK(example.loop.now() - sentAt < Milliseconds(2000));
    }
}

TEST_CASE("a daemon that has learnt of the others lets go of the groups they watch", "[fleet]")
{
    ExampleFleet example;
    // Alone in its list, the first daemon is home and watcher of everything.
    PlatformList alone;
    alone.instances.push_back(example.fleet->node(0).membership().self());
    example.fleet->node(0).setPlatformList(alone);
    REQUIRE(example.ask(0, example.write("w1")).code == ResultCode::Done);
    REQUIRE(example.fleet->node(0).homes().viewOf(orders));

    PlatformList others = alone;
    for (const char* it : { "a", "b", "c" }) {
        for (int n = 0; n < 20; ++n) {
            InstanceEntry entry;
            entry.instance = InstanceId("other-" + std::string(it) + std::to_string(n));
            entry.failureDomain = FailureDomainId(it);
            others.instances.push_back(entry);
        }
    }
    example.fleet->node(0).setPlatformList(others);
    const auto watchers = example.fleet->node(0).membership().watchersOf(example.configuration->groups[0]);
    REQUIRE(std::find(watchers.begin(), watchers.end(), InstanceId("daemon-0")) == watchers.end());
    example.loop.advance(Milliseconds(12'000));
    CHECK_FALSE(example.fleet->node(0).homes().viewOf(orders));
}
