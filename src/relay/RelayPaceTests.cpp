#include "relay/RelayFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

/// Lets the daemon share the group's targets as one of eight homes, or with all daemons of a small fleet.
void setFleet(RelayFixture& scene, int daemons)
{
    PlatformList list;
    for (int n = 0; n < daemons; ++n) {
        const std::string name = "daemon-" + std::to_string(n);
        list.instances.push_back({ InstanceId(name), FailureDomainId("domain-one"), name, 1, 0, false });
    }
    scene.membership.setPlatformList(list);
    scene.group().setConnectionLimit(100, 1.0 / daemons);
}

size_t paceLines(const RelayFixture& scene)
{
    return static_cast<size_t>(std::count_if(scene.logLines.begin(), scene.logLines.end(), [](const std::string& it) { return it.find("target_pace") != std::string::npos; }));
}

/// Sends `n` writes at the same time, as other daemons forward them.
std::vector<std::unique_ptr<TestCaller>> forwardWrites(RelayFixture& scene, size_t n)
{
    std::vector<std::unique_ptr<TestCaller>> callers;
    while (callers.size() < n) {
        callers.push_back(std::make_unique<TestCaller>(scene.relay, "orders", "pace-" + std::to_string(callers.size()), CallerKind::Peer));
        callers.back()->send(RelayKind::Write, "WRITE 1 a");
    }
    return callers;
}

}

// Guards against a change of earlier deployments, whose limits are a daemon's connections.
TEST_CASE("in a small fleet a daemon uses all of its connections at once", "[relay]")
{
    RelayFixture scene;
    setFleet(scene, 10);
    scene.targets[TargetId("one")].delay = Milliseconds(20);
    const auto callers = forwardWrites(scene, 12);
    scene.run(100);
    CHECK(scene.targets[TargetId("one")].peakRunning == 6);
    CHECK(paceLines(scene) == 0);
}

TEST_CASE("a new primary begins with one statement at a time", "[relay]")
{
    RelayFixture scene;
    setFleet(scene, 48);
    const auto before = forwardWrites(scene, 6);
    scene.run(200);
    scene.targets[TargetId("two")].isPrimary = true;
    scene.targets[TargetId("two")].term = Term(2);
    scene.targets[TargetId("two")].delay = Milliseconds(20);
    scene.setPrimary("two", 2);
    const auto callers = forwardWrites(scene, 6);
    scene.run(30);
    CHECK(scene.targets[TargetId("two")].peakRunning == 1);
    scene.run(100);
    for (const auto& it : callers)
        CHECK(it->last().error == RelayError::None);
    CHECK(paceLines(scene) >= 1);
}

// Guards against writes in doubt: a write that is sent to a silent target may have run.
TEST_CASE("a write is not sent to a primary that has failed until it states its role", "[relay]")
{
    RelayFixture scene;
    setFleet(scene, 48);
    const auto open = forwardWrites(scene, 4);
    scene.run(200);
    auto& primary = scene.targets[TargetId("one")];
    primary.isSilent = true;
    const auto lost = forwardWrites(scene, 2);
    scene.run(3000);
    const size_t committed = scene.targets.committed.size();
    const auto refused = forwardWrites(scene, 1);
    scene.run(1000);
    REQUIRE(refused[0]->answers.size() == 1);
    CHECK(refused[0]->last().error == RelayError::Busy);
    CHECK(scene.targets.committed.size() == committed);
    primary.isSilent = false;
    scene.run(1000);
    const auto served = forwardWrites(scene, 1);
    scene.run(500);
    CHECK(served[0]->last().error == RelayError::None);
}

// Guards against a log line for each refusal of a target that is full for long.
TEST_CASE("a target that stays full is logged at most once in two seconds", "[relay]")
{
    RelayFixture scene;
    setFleet(scene, 48);
    scene.targets[TargetId("one")].isBusy = true;
    for (int n = 0; n < 50; ++n) {
        const auto callers = forwardWrites(scene, 2);
        scene.run(60);
    }
    CHECK(paceLines(scene) >= 1);
    CHECK(paceLines(scene) <= 3);
}
