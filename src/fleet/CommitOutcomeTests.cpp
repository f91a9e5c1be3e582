#include "base/VirtualLoop.h"
#include "fleet/FakeFleet.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

/// Three daemons, one group, and a transaction that its caller is about to commit.
struct CommitBench {
    CommitBench()
    {
        GroupConfiguration group;
        group.database = DatabaseId("db");
        group.slots = 3;
        group.connections = 40;
        for (const char* it : { "a", "b", "c" })
            group.targets.push_back({ TargetId("db-" + std::string(it)), {}, FailureDomainId(it) });
        configuration->groups.push_back(group);
        configuration->classes.push_back({ ClassName("counter"), Urgency::Urgent, 1, Milliseconds(500), Milliseconds(1000) });
        targets.addGroup(group, {});
        FakeFleetSettings settings;
        settings.domains = { FailureDomainId("a"), FailureDomainId("b"), FailureDomainId("c") };
        fleet = std::make_unique<FakeFleet>(loop, targets, settings, configuration);
        loop.advance(Milliseconds(500));
    }

    StatementAnswer ask(TransactionStep step, const std::string& id)
    {
        StatementRequest request;
        request.organisation = OrganisationId("shop");
        request.session = SessionId("session");
        request.workload = ClassName("counter");
        request.database = DatabaseId("db");
        request.mode = AccessMode::Write;
        request.id = RequestId(std::to_string(static_cast<int64_t>(loop.now().sinceEpoch())) + "-" + id);
        if (step == TransactionStep::Begin)
            request.statement = { "INSERT INTO records (key, value) VALUES ($1, $2)", { "k", "v" } };
        request.transaction = TransactionPart { step, transaction };
        request.deadline = loop.now() + Milliseconds(1000);
        std::optional<StatementAnswer> answer;
        fleet->handle(1, request, [&answer](StatementAnswer value) { answer = std::move(value); });
        loop.runUntil([&answer] { return answer.has_value(); }, Milliseconds(2000));
        REQUIRE(answer);
        return *answer;
    }

    VirtualLoop loop;
    FakeTargets targets { loop };
    std::shared_ptr<Configuration> configuration { std::make_shared<Configuration>() };
    std::unique_ptr<FakeFleet> fleet;
    TransactionId transaction;
};

}

TEST_CASE("a commit that ran and cannot be settled by the deadline is never told as not run", "[entry][fleet]")
{
    CommitBench bench;
    bench.transaction = bench.ask(TransactionStep::Begin, "begin").transaction;
    REQUIRE_FALSE(bench.transaction.isEmpty());
    const TargetId primary("db-a");
    bench.targets.loseNextAnswer(primary, TargetOperation::Commit);
    bench.loop.after(Milliseconds(3), [&bench, primary] {
        for (const char* it : { "a", "b", "c" }) {
            for (const char* target : { "db-a", "db-b", "db-c" })
                bench.targets.setCut(FailureDomainId(it), TargetId(target), true);
        }
    });
    const StatementAnswer answer = bench.ask(TransactionStep::Commit, "commit");
    REQUIRE(bench.targets.model(DatabaseId("db")).survivingLog().size() == 1);
    INFO(nameOf(answer.code));
    CHECK(answer.outcome() == Outcome::Unknown);
}
