#include "relay/RelayDrain.h"
#include "relay/RelayFixture.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace parsleypaddle;

namespace {

/// Records the callbacks of a drain. The release of the lease completes when the test calls `released`.
struct DrainRecorder {
    std::vector<std::string> steps;
    std::function<void()> released;

    DrainCallbacks recordingSteps()
    {
        DrainCallbacks result;
        result.stopListening = [this] { steps.emplace_back("stop listening"); };
        result.releaseLease = [this](std::function<void()> done) {
            steps.emplace_back("release the lease");
            released = std::move(done);
        };
        result.onStopped = [this] { steps.emplace_back("stopped"); };
        return result;
    }
};

}

// Guards against lost statements: if the daemon still listened while it released its lease, a caller could connect and
// send a read that is never answered.
TEST_CASE("a drain stops listening before it releases the lease", "[relay]")
{
    RelayFixture scene;
    RelayDrain drain(scene.loop, scene.relay, Milliseconds(6000));
    DrainRecorder recorder;
    drain.startDraining(recorder.recordingSteps());
    scene.run(5500);
    REQUIRE(recorder.steps == std::vector<std::string> { "stop listening", "release the lease" });
    recorder.released();
    CHECK(recorder.steps.back() == "stopped");
}

TEST_CASE("a drain closes idle sessions and waits for open transactions", "[relay]")
{
    RelayFixture scene;
    RelayDrain drain(scene.loop, scene.relay, Milliseconds(6000));
    TestCaller idle(scene.relay, "orders");
    TestCaller busy(scene.relay, "orders");
    busy.send(RelayKind::Begin);
    busy.send(RelayKind::Write, "WRITE 1 a");
    scene.run(50);
    DrainRecorder recorder;
    drain.startDraining(recorder.recordingSteps());
    // Idle sessions are closed from 2.2 s on, when the load balancer sends no more callers. Open transactions are rolled back
    // only after half of the grace period.
    scene.run(2800);
    CHECK(idle.isClosed);
    CHECK_FALSE(busy.isClosed);
    CHECK(recorder.steps.empty());
    busy.send(RelayKind::Commit);
    scene.run(200);
    CHECK(busy.last().error == RelayError::None);
    CHECK(busy.isClosed);
}

// While most daemons of a failure domain stop, the load balancer sends callers to all of them, and a
// statement that arrived 5.1 s after the stop began was cut off by the end of the drain.
TEST_CASE("a statement that a draining daemon has taken is answered before its session is closed", "[relay]")
{
    RelayFixture scene;
    scene.targets[TargetId("one")].delay = Milliseconds(60);
    RelayDrain drain(scene.loop, scene.relay, Milliseconds(6000));
    DrainRecorder recorder;
    drain.startDraining(recorder.recordingSteps());
    // Callers that come all the while, so that the drain does not end early.
    std::vector<std::unique_ptr<TestCaller>> callers;
    while (recorder.steps.empty()) {
        callers.push_back(std::make_unique<TestCaller>(scene.relay, "orders"));
        callers.back()->send(RelayKind::Write, "WRITE 1 a");
        scene.run(30);
    }
    for (const auto& it : callers)
        CHECK_FALSE((it->isClosed && it->answers.empty()));
    scene.run(200);
    for (const auto& it : callers) {
        CHECK(it->isClosed);
        CHECK(it->answers.size() == 1);
    }
    CHECK(recorder.steps.back() == "release the lease");
}
