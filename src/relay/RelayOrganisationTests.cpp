#include "relay/RelayFixture.h"
#include "relay/RelayTransaction.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

namespace {

/// Adds `daemons` daemons in two failure domains; of 48, eight are homes of the group, each with few connections to each target.
void addDaemons(RelayFixture& scene, int daemons, uint32_t connections)
{
    PlatformList list;
    for (int n = 0; n < daemons; ++n) {
        const std::string name = "daemon-" + std::to_string(n);
        list.instances.push_back({ InstanceId(name), FailureDomainId(n % 2 == 0 ? "domain-one" : "domain-two"), name, 1, 0, false });
    }
    scene.membership.setPlatformList(list);
    scene.group().setConnectionLimit(connections, 1.0 / daemons);
}

/// Keeps the jobs' requester alive.
const auto requester = std::make_shared<int>();

/// A statement of the organisation; its text begins with the organisation's name.
RelayJob jobOf(RelayFixture& scene, const std::string& database, const std::string& organisation, bool isWrite)
{
    RelayJob job;
    job.route = scene.relay.routeOf(DatabaseId(database));
    job.caller = OrganisationId("caller-of-" + organisation);
    job.organisation = OrganisationId(organisation);
    job.step.kind = isWrite ? RelayKind::Write : RelayKind::Read;
    job.step.text = organisation + " statement";
    job.isWrite = isWrite;
    job.sessionState = std::make_shared<CallerSessionState>();
    job.isForwarded = true;
    job.arrived = scene.loop.now();
    job.requester = requester;
    job.done = [](const RelayResult&) {};
    return job;
}

/// Homes of the group in the scene's failure domain.
int64_t homesInOwnDomain(const RelayFixture& scene)
{
    const auto& homes = scene.membership.rankedDaemonsFor(GroupId("group"));
    return std::count_if(homes.begin(), homes.end(), [&](const InstanceId& it) { return scene.membership.find(it)->failureDomain == scene.membership.self().failureDomain; });
}

std::string homeOf(RelayFixture& scene, const std::string& organisation)
{
    RelayJob job = jobOf(scene, "orders", organisation, true);
    job.isForwarded = false;
    const auto destination = scene.group().chooseDestination(job, {});
    return destination ? destination->target->entry().target.id.value() : "";
}

}

TEST_CASE("a statement runs on a connection in the name of its organisation, never in that of its caller", "[relay]")
{
    RelayFixture scene;
    scene.group().run(jobOf(scene, "orders", "bakery", true));
    scene.group().run(jobOf(scene, "orders", "", true));
    scene.run(100);
    REQUIRE(scene.ran("bakery statement").size() == 1);
    CHECK(scene.ran("bakery statement")[0].organisation == OrganisationId("bakery"));
    REQUIRE(scene.ran(" statement").size() == 1);
    CHECK(scene.ran(" statement")[0].organisation == OrganisationId());
}

TEST_CASE("the connections that were reused, opened and closed for another organisation are counted", "[relay]")
{
    RelayFixture scene;
    addDaemons(scene, 48, 10);
    for (const std::string organisation : { "bakery", "bakery", "dairy" }) {
        scene.group().run(jobOf(scene, "orders", organisation, true));
        scene.run(100);
    }
    const std::string text = scene.metrics.text();
    CHECK(text.find("parsleypaddle_connections_reused_total 1\n") != std::string::npos);
    CHECK(text.find("parsleypaddle_connections_opened_total 2\n") != std::string::npos);
    CHECK(text.find("parsleypaddle_connections_evicted_total 1\n") != std::string::npos);
}

// Guards the product's guarantee that no statement runs in the name of another organisation, under load on few connections, with open
// transactions, targets that fail, refuse, are lost or go silent, and evictions.
TEST_CASE("no statement ever runs on a connection of another organisation", "[relay][random]")
{
    const auto seed = static_cast<uint64_t>(GENERATE(range(1, 13)));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto below = [&random](uint64_t n) { return random() % n; };
    RelayFixture scene;
    addDaemons(scene, 48, 40);
    const std::vector<std::string> databases { "orders", "prices", "proofs" };
    std::vector<std::pair<std::shared_ptr<RelayTransaction>, std::string>> transactions;
    uint32_t answered = 0;
    for (int n = 0; n < 3000; ++n) {
        auto& target = scene.targets[TargetId(std::vector<std::string> { "one", "two", "three" }[below(3)])];
        target.isDown = below(60) == 0;
        target.isSilent = below(60) == 0;
        target.isBusy = below(20) == 0;
        target.losesNextAnswer = below(20) == 0;
        const std::string organisation(1, static_cast<char>('a' + below(9)));
        RelayJob job = jobOf(scene, databases[below(3)], organisation, below(2) == 0);
        if (below(4) == 0)
            job.beginKind = job.isWrite ? RelayKind::Begin : RelayKind::BeginRead;
        job.done = [&transactions, &answered, organisation](const RelayResult& result) {
            ++answered;
            if (result.transaction)
                transactions.emplace_back(result.transaction, organisation);
        };
        scene.group().run(std::move(job));
        scene.run(static_cast<double>(below(8)));
        if (below(3) == 0 && !transactions.empty())
            transactions.erase(transactions.begin());
    }
    transactions.clear();
    scene.run(10'000);
    transactions.clear();
    CHECK(answered == 3000);
    REQUIRE(scene.targets.executed.size() > 500);
    for (const auto& it : scene.targets.executed)
        REQUIRE(it.organisation.value() + " statement" == it.text);
    CHECK(scene.metrics.text().find("parsleypaddle_connections_evicted_total 0\n") == std::string::npos);
}

// Guards against connections that are hardly ever reused: with 81 organisations and a few connections at each of eight homes, a daemon
// that spreads the statements of an organisation over all homes opens a connection for nearly every statement.
TEST_CASE("daemons of a failure domain forward the statements of one organisation to the same home of their domain", "[relay]")
{
    RelayFixture one("daemon-zero");
    RelayFixture two("another-daemon");
    std::set<std::string> homes;
    for (auto* it : { &one, &two }) {
        addDaemons(*it, 60, 20);
        REQUIRE_FALSE(it->membership.rankFor(GroupId("group")));
        REQUIRE(homesInOwnDomain(*it) >= 3);
    }
    for (int n = 0; n < 40; ++n) {
        const std::string organisation = "organisation-" + std::to_string(n);
        const std::string home = homeOf(one, organisation);
        CHECK(homeOf(one, organisation) == home);
        CHECK(homeOf(two, organisation) == home);
        const InstanceEntry* entry = one.membership.find(InstanceId(home.substr(std::string("daemon ").size())));
        REQUIRE(entry);
        CHECK(entry->failureDomain == FailureDomainId("domain-one"));
        homes.insert(home);
    }
    CHECK(homes.size() > 1);
}

TEST_CASE("the statements of an organisation go to further homes when its home is busy", "[relay]")
{
    RelayFixture scene;
    addDaemons(scene, 60, 20);
    REQUIRE_FALSE(scene.membership.rankFor(GroupId("group")));
    const std::string home = homeOf(scene, "bakery");
    for (int n = 0; n < 6; ++n) {
        RelayJob job = jobOf(scene, "orders", "bakery", true);
        job.isForwarded = false;
        scene.group().run(std::move(job));
    }
    CHECK(homeOf(scene, "bakery") != home);
    scene.run(500);
    CHECK(homeOf(scene, "bakery") == home);
}
