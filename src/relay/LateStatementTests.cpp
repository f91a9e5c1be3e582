#include "relay/RelayFixture.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

/// Sends `count` writes of 100 ms at once, and returns how many were answered without an error within 900 ms.
int writesAnswered(RelayFixture& scene, int count)
{
    scene.targets[TargetId("one")].delay = Milliseconds(100);
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int n = 0; n < count; ++n) {
        callers.push_back(std::make_unique<TestCaller>(scene.relay, "orders", "organisation", CallerKind::Peer));
        callers.back()->send(RelayKind::Write, "WRITE " + std::to_string(n) + " a");
    }
    scene.run(900);
    int answered = 0;
    for (const auto& it : callers) {
        REQUIRE(it->answers.size() == 1);
        answered += it->last().error == RelayError::None ? 1 : 0;
    }
    return answered;
}

}

// Guards against refusals of statements that a home could still answer, if only after their objective of 200 ms: a caller's retry
// would be no earlier.
TEST_CASE("a home answers statements after their objective, until their time-out", "[relay]")
{
    RelayFixture scene;
    PlatformList list;
    for (int n = 0; n < 48; ++n)
        list.instances.push_back({ InstanceId("daemon-" + std::to_string(n)), FailureDomainId("domain-one"), "daemon", 1, 0, false });
    scene.membership.setPlatformList(list);
    scene.group().setConnectionLimit(100, 1.0 / 48);
    // Two run at a time, so the last ones start 400 ms after they were sent.
    CHECK(writesAnswered(scene, 10) == 10);
}

TEST_CASE("where every daemon connects to every target, statements are refused at their objective", "[relay]")
{
    RelayFixture scene;
    scene.group().setConnectionLimit(10, 0.34);
    CHECK(writesAnswered(scene, 10) < 10);
}
