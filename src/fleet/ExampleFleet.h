#pragma once

#include "base/VirtualLoop.h"
#include "fleet/FakeFleet.h"

#include <catch2/catch.hpp>
#include <optional>

namespace parsleypaddle {

inline const DatabaseId orders("orders-1");
inline const OrganisationId counter("shop-1");

/// One database of three targets, one in each of the failure domains a, b and c; the first is primary.
inline std::shared_ptr<const Configuration> exampleConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    GroupConfiguration group;
    group.database = orders;
    group.slots = 3;
    group.connections = 40;
    for (const char* it : { "a", "b", "c" })
        group.targets.push_back({ TargetId("orders-1-" + std::string(it)), {}, FailureDomainId(it) });
    configuration->groups.push_back(group);
    configuration->classes.push_back({ ClassName("counter"), Urgency::Urgent, 1, Milliseconds(500), Milliseconds(2000) });
    return configuration;
}

/// A fleet of three daemons before one group, and callers that wait for their answers.
struct ExampleFleet {
    ExampleFleet()
    {
        targets.addGroup(configuration->groups[0], {});
        FakeFleetSettings settings;
        settings.domains = { FailureDomainId("a"), FailureDomainId("b"), FailureDomainId("c") };
        fleet = std::make_unique<FakeFleet>(loop, targets, settings, configuration);
        loop.advance(Milliseconds(500));
    }

    StatementRequest request(AccessMode mode, const std::string& id, SqlStatement statement)
    {
        StatementRequest made;
        made.organisation = counter;
        made.session = SessionId("session-1");
        made.workload = ClassName("counter");
        made.database = orders;
        made.mode = mode;
        made.id = RequestId(std::to_string(static_cast<int64_t>(loop.now().sinceEpoch())) + "-" + id);
        made.statement = std::move(statement);
        made.deadline = loop.now() + Milliseconds(5000);
        return made;
    }

    StatementRequest write(const std::string& id)
    {
        return request(AccessMode::Write, id, { "INSERT INTO records (key, value) VALUES ($1, $2)", { "k", id } });
    }

    StatementRequest read(const std::string& id)
    {
        return request(AccessMode::Read, id, { "SELECT value FROM records WHERE key = $1", { "k" } });
    }

    StatementAnswer ask(size_t n, const StatementRequest& request)
    {
        std::optional<StatementAnswer> answer;
        fleet->handle(n, request, [&answer](StatementAnswer value) { answer = std::move(value); });
        loop.runUntil([&answer] { return answer.has_value(); }, Milliseconds(6000));
        REQUIRE(answer);
        INFO(answer->message);
        return *answer;
    }

    /// Cuts a failure domain off from all others: daemons, ways to targets, and replication.
    void cutOff(const std::string& domain, bool isCut)
    {
        targets.model(orders).setIsolated(TargetId("orders-1-" + domain), isCut);
        for (const char* it : { "a", "b", "c" }) {
            if (it == domain)
                continue;
            fleet->setCut(FailureDomainId(domain), FailureDomainId(it), isCut);
            targets.setCut(FailureDomainId(domain), TargetId("orders-1-" + std::string(it)), isCut);
            targets.setCut(FailureDomainId(it), TargetId("orders-1-" + domain), isCut);
        }
    }

    VirtualLoop loop;
    FakeTargets targets { loop };
    std::shared_ptr<const Configuration> configuration { exampleConfiguration() };
    std::unique_ptr<FakeFleet> fleet;
};

}
