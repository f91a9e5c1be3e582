#include "base/VirtualLoop.h"
#include "fleet/FakeFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

constexpr Milliseconds requestPatience { 3000 };

/// Three failure domains with a target and a daemon in each; the first target starts as primary.
struct InvariantFleet {
    InvariantFleet()
    {
        GroupConfiguration group;
        group.database = database;
        group.slots = 5;
        group.connections = 40;
        for (const char* it : { "a", "b", "c" })
            group.targets.push_back({ TargetId(it), {}, FailureDomainId(it) });
        configuration->groups.push_back(group);
        configuration->classes.push_back({ ClassName("counter"), Urgency::Urgent, 1, Milliseconds(60'000), Milliseconds(5000) });
        targets.addGroup(group, {});
        FakeFleetSettings settings;
        settings.domains = { FailureDomainId("a"), FailureDomainId("b"), FailureDomainId("c") };
        fleet = std::make_unique<FakeFleet>(loop, targets, settings, configuration);
        loop.advance(Milliseconds(600));
    }

    GroupModel& model() { return targets.model(database); }

    StatementRequest request(AccessMode mode, const std::string& id)
    {
        StatementRequest made;
        made.organisation = OrganisationId("shop");
        made.session = SessionId("session");
        made.workload = ClassName("counter");
        made.database = database;
        made.mode = mode;
        made.id = RequestId(std::to_string(static_cast<int64_t>(loop.now().sinceEpoch())) + "-" + id);
        made.greatestAge = Milliseconds(60'000);
        made.deadline = loop.now() + requestPatience;
        return made;
    }

    StatementRequest write(const std::string& value)
    {
        auto made = request(AccessMode::Write, value);
        made.statement = { "INSERT INTO records (key, value) VALUES ($1, $2)", { "key", value } };
        return made;
    }

    StatementRequest read(const std::string& token)
    {
        auto made = request(AccessMode::Read, "read" + std::to_string(++reads));
        made.statement = { "SELECT value FROM records WHERE key = $1", { "key" } };
        made.token = token;
        return made;
    }

    StatementRequest step(TransactionStep step, const TransactionId& id, const std::string& value)
    {
        auto made = write(value);
        if (step == TransactionStep::Commit)
            made.statement = {};
        made.transaction = TransactionPart { step, id };
        return made;
    }

    StatementAnswer ask(size_t daemon, StatementRequest request)
    {
        request.deadline = loop.now() + requestPatience;
        std::optional<StatementAnswer> answer;
        fleet->handle(daemon, std::move(request), [&answer](StatementAnswer value) { answer = std::move(value); });
        loop.runUntil([&answer] { return answer.has_value(); }, requestPatience * 2);
        REQUIRE(answer);
        return *answer;
    }

    /// How often the surviving log holds a value.
    size_t survivors(const std::string& value)
    {
        size_t n = 0;
        for (const auto& commit : model().survivingLog()) {
            for (const auto& it : commit.changes)
                n += it.value == value ? 1 : 0;
        }
        return n;
    }

    void setDomainCut(const std::string& name, bool isCut)
    {
        const FailureDomainId domain(name);
        model().setIsolated(TargetId(name), isCut);
        for (const char* it : { "a", "b", "c" }) {
            if (name == it)
                continue;
            fleet->setCut(domain, FailureDomainId(it), isCut);
            targets.setCut(domain, TargetId(it), isCut);
            targets.setCut(FailureDomainId(it), TargetId(name), isCut);
        }
    }

    DatabaseId database { "db" };
    VirtualLoop loop;
    FakeTargets targets { loop };
    std::shared_ptr<Configuration> configuration { std::make_shared<Configuration>() };
    std::unique_ptr<FakeFleet> fleet;
    int reads { 0 };
};

const SqlValue& valueIn(const StatementAnswer& answer)
{
    REQUIRE(answer.code == ResultCode::Done);
    REQUIRE_FALSE(answer.rows.values.empty());
    return answer.rows.values.front().front();
}

}

TEST_CASE("a write asked twice, at once or later and elsewhere, runs once", "[checking][ledger]")
{
    InvariantFleet fleet;
    const auto request = fleet.write("w1");
    SECTION("at two daemons at the same moment")
    {
        std::vector<ResultCode> codes;
        for (const size_t daemon : { 0, 2 })
            fleet.fleet->handle(daemon, request, [&codes](const StatementAnswer& answer) { codes.push_back(answer.code); });
        fleet.loop.advance(requestPatience);
        std::sort(codes.begin(), codes.end());
        CHECK(codes == std::vector<ResultCode> { ResultCode::Done, ResultCode::DoneEarlier });
    }
    SECTION("after the first daemon died before it answered")
    {
        fleet.fleet->handle(0, request, [](const StatementAnswer&) {});
        fleet.loop.advance(Milliseconds(11));
        fleet.fleet->kill(0);
        auto again = request;
        again.attempt = 2;
        CHECK(fleet.ask(1, again).outcome() == Outcome::Done);
    }
    SECTION("after a change of primary")
    {
        REQUIRE(fleet.ask(0, request).code == ResultCode::Done);
        fleet.targets.setDown(TargetId("a"), true);
        CHECK(fleet.ask(1, request).code == ResultCode::DoneEarlier);
    }
    SECTION("after its answer was lost")
    {
        fleet.targets.loseNextAnswer(TargetId("a"), TargetOperation::Write);
        CHECK(fleet.ask(0, request).outcome() == Outcome::Done);
    }
    fleet.loop.advance(Milliseconds(2000));
    CHECK(fleet.survivors("w1") == 1);
}

TEST_CASE("a request id older than the ledger keeps entries is refused", "[checking][ledger]")
{
    InvariantFleet fleet;
    auto request = fleet.write("w1");
    request.id = RequestId("1600000000000-w1");
    CHECK(fleet.ask(0, request).code == ResultCode::RequestExpired);
    CHECK(fleet.survivors("w1") == 0);
}

TEST_CASE("a session reads its own write at any daemon, whatever its token", "[checking][sessions]")
{
    InvariantFleet fleet;
    REQUIRE(fleet.ask(0, fleet.write("old")).code == ResultCode::Done);
    fleet.loop.advance(Milliseconds(1000));
    for (const char* it : { "b", "c" })
        fleet.model().setReplication(TargetId(it), Milliseconds(1), Milliseconds(800));
    const auto written = fleet.ask(0, fleet.write("new"));
    REQUIRE(written.code == ResultCode::Done);

    SECTION("with its token") { CHECK(valueIn(fleet.ask(2, fleet.read(written.token))) == "new"); }
    SECTION("without a token") { CHECK(valueIn(fleet.ask(1, fleet.read(""))) == "new"); }
    SECTION("with the token of an answer to a request that came without one")
    {
        const auto begun = fleet.ask(2, fleet.step(TransactionStep::Begin, {}, "other"));
        REQUIRE(begun.code == ResultCode::Done);
        CHECK(valueIn(fleet.ask(1, fleet.read(begun.token))) == "new");
    }
    SECTION("with a token from before a change of primary")
    {
        fleet.targets.setDown(TargetId("a"), true);
        fleet.loop.advance(Milliseconds(2000));
        CHECK(valueIn(fleet.ask(1, fleet.read(written.token))) == "new");
    }
    SECTION("and a damaged token is refused")
    {
        CHECK(fleet.ask(1, fleet.read(written.token + "x")).code == ResultCode::TokenInvalid);
    }
}

TEST_CASE("without a primary in reach a session's read is refused unless its token settles what it needs", "[checking][sessions]")
{
    InvariantFleet fleet;
    const auto written = fleet.ask(0, fleet.write("w1"));
    REQUIRE(written.code == ResultCode::Done);
    fleet.loop.advance(Milliseconds(500));
    fleet.setDomainCut("c", true);
    fleet.loop.advance(Milliseconds(1000));
    CHECK(valueIn(fleet.ask(2, fleet.read(written.token))) == "w1");
    CHECK(fleet.ask(2, fleet.read("")).outcome() == Outcome::NotRun);
    CHECK(fleet.ask(0, fleet.write("w2")).code == ResultCode::Done);
}

TEST_CASE("a primary that is cut off with its daemon acknowledges nothing, and nothing acknowledged is lost", "[checking][promotion]")
{
    InvariantFleet fleet;
    REQUIRE(fleet.ask(0, fleet.write("before")).code == ResultCode::Done);
    fleet.setDomainCut("a", true);
    std::optional<StatementAnswer> cutOff;
    fleet.fleet->handle(0, fleet.write("cut off"), [&cutOff](StatementAnswer answer) { cutOff = std::move(answer); });
    const auto elsewhere = fleet.ask(1, fleet.write("elsewhere"));
    CHECK(elsewhere.outcome() == Outcome::Done);
    CHECK(elsewhere.target != TargetId("a"));
    fleet.loop.advance(requestPatience);
    REQUIRE(cutOff);
    CHECK(cutOff->outcome() != Outcome::Done);
    fleet.setDomainCut("a", false);
    fleet.loop.advance(Milliseconds(3000));
    CHECK(fleet.survivors("before") == 1);
    CHECK(fleet.survivors("elsewhere") == 1);
    CHECK(fleet.survivors("cut off") == 0);
}

TEST_CASE("a daemon that slept through a change of primary writes at the new one", "[checking][promotion]")
{
    InvariantFleet fleet;
    fleet.fleet->setPaused(0, true);
    fleet.targets.setFrozen(TargetId("a"), true);
    REQUIRE(fleet.ask(1, fleet.write("w1")).outcome() == Outcome::Done);
    fleet.targets.setFrozen(TargetId("a"), false);
    fleet.fleet->setPaused(0, false);
    const auto answer = fleet.ask(0, fleet.write("w2"));
    CHECK(answer.outcome() == Outcome::Done);
    CHECK(answer.target != TargetId("a"));
    fleet.loop.advance(Milliseconds(1000));
    CHECK(fleet.survivors("w1") == 1);
    CHECK(fleet.survivors("w2") == 1);
}

TEST_CASE("a transaction whose daemon dies or whose caller goes quiet leaves nothing behind", "[checking][transactions]")
{
    InvariantFleet fleet;
    const auto begun = fleet.ask(1, fleet.step(TransactionStep::Begin, {}, "t1"));
    REQUIRE(begun.code == ResultCode::Done);
    SECTION("the daemon that holds its connection dies") { fleet.fleet->kill(0); }
    SECTION("its caller says nothing for longer than is allowed") { fleet.loop.advance(Milliseconds(11'000)); }
    const auto commit = fleet.ask(2, fleet.step(TransactionStep::Commit, begun.transaction, "commit"));
    CHECK(commit.outcome() == Outcome::NotRun);
    fleet.loop.advance(Milliseconds(2000));
    CHECK(fleet.survivors("t1") == 0);
}

TEST_CASE("work on connections that go silent is resolved on new ones and the target stays in use", "[checking][connections]")
{
    InvariantFleet fleet;
    REQUIRE(fleet.ask(0, fleet.write("w1")).code == ResultCode::Done);
    const Instant silentAt = fleet.loop.now();
    fleet.targets.silenceConnections(TargetId("a"));
    const auto answer = fleet.ask(0, fleet.write("w2"));
    CHECK(answer.outcome() == Outcome::Done);
    CHECK(answer.target == TargetId("a"));
    CHECK(fleet.loop.now() - silentAt <= Milliseconds(2500));
    CHECK(fleet.survivors("w2") == 1);
    CHECK(fleet.fleet->node(0).view(fleet.database).term == Term(1));
}

TEST_CASE("a leaving primary hands over while writes go on, and gets no new work after that", "[checking][membership]")
{
    InvariantFleet fleet;
    fleet.model().setLeaving(TargetId("a"), true);
    const Instant leavingAt = fleet.loop.now();
    int failed = 0;
    for (int i = 0; i < 200; ++i) {
        failed += fleet.ask(static_cast<size_t>(i) % 3, fleet.write("w" + std::to_string(i))).outcome() == Outcome::Done ? 0 : 1;
        failed += fleet.ask(static_cast<size_t>(i) % 3, fleet.read("")).outcome() == Outcome::Done ? 0 : 1;
        fleet.loop.advance(Milliseconds(25));
    }
    CHECK(failed == 0);
    size_t late = 0;
    for (const auto& it : fleet.model().history())
        late += it.target == TargetId("a") && it.at - leavingAt > Milliseconds(4000) ? 1 : 0;
    CHECK(late == 0);
    CHECK(fleet.fleet->node(1).view(fleet.database).primary != TargetId("a"));
}
