#include "fleet/ExampleFleet.h"

using namespace parsleypaddle;

// One test for each row of the table "Failure domains cut off" in docs/OPERATORS.md.

namespace {

constexpr size_t daemonA = 0;
constexpr size_t daemonB = 1;
constexpr size_t daemonC = 2;

StatementRequest anonymousRead(ExampleFleet& example, const std::string& id, Milliseconds greatestAge)
{
    auto request = example.read(id);
    request.session = SessionId();
    request.greatestAge = greatestAge;
    return request;
}

}

TEST_CASE("a cut-off domain without the primary reads within its age and refuses the rest", "[fleet][cuts]")
{
    ExampleFleet example;
    const auto written = example.ask(daemonC, example.write("w1"));
    REQUIRE(written.code == ResultCode::Done);
    example.loop.advance(Milliseconds(100));
    example.cutOff("c", true);
    example.loop.advance(Milliseconds(1500));

    CHECK(example.ask(daemonC, anonymousRead(example, "r1", Milliseconds(10'000))).code == ResultCode::Done);
    CHECK(example.ask(daemonC, anonymousRead(example, "r2", Milliseconds(500))).outcome() == Outcome::NotRun);
    auto own = example.read("r3");
    own.token = written.token;
    own.greatestAge = Milliseconds(30'000);
    CHECK(example.ask(daemonC, own).code == ResultCode::Done);
    CHECK(example.ask(daemonC, example.read("r4")).outcome() == Outcome::NotRun);
    CHECK(example.ask(daemonC, example.write("w2")).outcome() == Outcome::NotRun);
    CHECK(example.ask(daemonA, example.write("w3")).code == ResultCode::Done);

    example.cutOff("c", false);
    example.loop.advance(Milliseconds(5000));
    CHECK(example.ask(daemonC, example.write("w4")).code == ResultCode::Done);
    CHECK(example.targets.model(orders).survivingRecords().at("k") == "w4");
}

TEST_CASE("a cut-off domain with the primary acknowledges nothing, and the others have a new primary", "[fleet][cuts]")
{
    ExampleFleet example;
    REQUIRE(example.ask(daemonA, example.write("w1")).code == ResultCode::Done);
    example.cutOff("a", true);
    const Instant cutAt = example.loop.now();
    const auto elsewhere = example.ask(daemonB, example.write("w2"));
    CHECK(elsewhere.outcome() == Outcome::Done);
    CHECK(elsewhere.target != TargetId("orders-1-a"));
    CHECK(example.loop.now() - cutAt < Milliseconds(5000));
    CHECK(example.ask(daemonA, example.write("w3")).outcome() != Outcome::Done);
    CHECK(example.ask(daemonA, anonymousRead(example, "r1", Milliseconds(60'000))).code == ResultCode::Done);
    CHECK(example.ask(daemonA, anonymousRead(example, "r2", Milliseconds(500))).outcome() == Outcome::NotRun);

    example.cutOff("a", false);
    example.loop.advance(Milliseconds(5000));
    CHECK(example.targets.model(orders).survivingRecords().at("k") == "w2");
    CHECK(example.ask(daemonA, example.write("w4")).code == ResultCode::Done);
}

TEST_CASE("when every domain is cut off from every other, all read within their age and none writes", "[fleet][cuts]")
{
    ExampleFleet example;
    REQUIRE(example.ask(daemonA, example.write("w1")).code == ResultCode::Done);
    example.loop.advance(Milliseconds(100));
    for (const char* it : { "a", "b", "c" })
        example.cutOff(it, true);
    example.loop.advance(Milliseconds(1500));
    for (const size_t n : { daemonA, daemonB, daemonC }) {
        const std::string suffix = std::to_string(n);
        CHECK(example.ask(n, anonymousRead(example, "old" + suffix, Milliseconds(60'000))).code == ResultCode::Done);
        CHECK(example.ask(n, anonymousRead(example, "new" + suffix, Milliseconds(500))).outcome() == Outcome::NotRun);
        CHECK(example.ask(n, example.write("lost" + suffix)).outcome() != Outcome::Done);
    }
    for (const char* it : { "a", "b", "c" })
        example.cutOff(it, false);
    example.loop.advance(Milliseconds(5000));
    CHECK(example.ask(daemonC, example.write("w2")).code == ResultCode::Done);
    CHECK(example.targets.model(orders).survivingRecords().at("k") == "w2");
}

TEST_CASE("daemons that lost each other but not the targets serve everything through their own homes", "[fleet][cuts]")
{
    ExampleFleet example;
    for (const auto& [from, to] : { std::make_pair("a", "b"), std::make_pair("b", "c"), std::make_pair("a", "c") })
        example.fleet->setCut(FailureDomainId(from), FailureDomainId(to), true);
    for (const size_t n : { daemonA, daemonB, daemonC }) {
        const std::string suffix = std::to_string(n);
        CHECK(example.ask(n, example.write("w" + suffix)).outcome() == Outcome::Done);
        CHECK(example.ask(n, example.read("r" + suffix)).code == ResultCode::Done);
    }
    for (const char* it : { "a", "b", "c" })
        CHECK(example.targets.mostConnections(TargetId("orders-1-" + std::string(it))) <= 40);
}
