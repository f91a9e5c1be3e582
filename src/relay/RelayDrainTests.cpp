#include "relay/RelayDrain.h"
#include "relay/RelayFixture.h"

#include <algorithm>
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

/// A caller that sends its next statement as soon as the last one is answered, so that its session is idle for a moment only.
class BusyCaller {
public:
    /// Sends `kinds` in turn. At least `ahead` statements are without an answer at any time.
    BusyCaller(RelayFixture& scene, std::vector<RelayKind> kinds, uint32_t ahead = 1)
        : m_caller(scene.relay, "orders")
        , m_kinds(std::move(kinds))
        , m_ahead(ahead)
    {
    }

    /// Ends the session if its connection was closed; otherwise reads the answers and sends the next statements.
    void advance()
    {
        if (m_isOver)
            return;
        if (m_caller.isClosed) {
            m_isOver = true;
            return m_caller.disconnect();
        }
        for (uint32_t n = 0; n < m_ahead && m_caller.isReceiving && m_sent < m_caller.answers.size() + m_ahead; ++n) {
            const RelayKind kind = m_kinds[m_sent++ % m_kinds.size()];
            m_caller.send(kind, kind == RelayKind::Write ? "WRITE 1 a" : "");
        }
    }

    bool isOver() const { return m_isOver; }
    size_t sent() const { return m_sent; }
    const std::vector<RelayAnswer>& answers() const { return m_caller.answers; }

private:
    TestCaller m_caller;
    std::vector<RelayKind> m_kinds;
    uint32_t m_ahead;
    size_t m_sent { 0 };
    bool m_isOver { false };
};

/// The longest time that a caller takes from an answer to the next statement.
constexpr double callerPause = 1;

void advanceCallers(RelayFixture& scene, const std::vector<std::unique_ptr<BusyCaller>>& callers, double milliseconds)
{
    for (double passed = 0; passed < milliseconds; passed += callerPause) {
        for (const auto& it : callers)
            it->advance();
        scene.run(callerPause);
    }
}

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

// Guards against lost statements: checks at fixed times hardly ever find such a session idle, and the end of the drain cut off its last
// statement.
TEST_CASE("a session that is used without pauses is closed by a drain when its statement is answered", "[relay]")
{
    constexpr size_t callerCount = 8;
    constexpr double grace = 6000;
    const double delay = GENERATE(20, 60);
    const uint32_t ahead = GENERATE(1, 2);
    CAPTURE(delay, ahead);
    RelayFixture scene;
    std::vector<std::unique_ptr<BusyCaller>> callers;
    for (size_t n = 0; n < callerCount; ++n) {
        callers.push_back(std::make_unique<BusyCaller>(scene, std::vector<RelayKind> { RelayKind::Write }, ahead));
        advanceCallers(scene, callers, 17);
    }
    scene.targets[TargetId("one")].delay = Milliseconds(delay);
    RelayDrain drain(scene.loop, scene.relay, Milliseconds(grace));
    DrainRecorder recorder;
    drain.startDraining(recorder.recordingSteps());
    // No statement that is sent after half of the grace period is accepted, so the rest is left to those that were.
    advanceCallers(scene, callers, grace / 2 + ahead * delay + 100);
    for (const auto& it : callers) {
        CHECK(it->isOver());
        CHECK(it->answers().size() == it->sent());
        for (const auto& answer : it->answers())
            CHECK(answer.error == RelayError::None);
    }
    size_t sent = 0;
    for (const auto& it : callers)
        sent += it->sent();
    CHECK(scene.targets.committed.size() == sent);
    REQUIRE_FALSE(recorder.steps.empty());
    CHECK(recorder.steps.back() == "release the lease");
}

// Guards against transactions that outlast their half of the grace period, because one of their statements runs at each check.
TEST_CASE("a transaction that is used without pauses ends with a statement after half of the grace period", "[relay]")
{
    constexpr double grace = 6000;
    constexpr double delay = 120;
    RelayFixture scene;
    scene.targets[TargetId("one")].delay = Milliseconds(delay);
    RelayDrain drain(scene.loop, scene.relay, Milliseconds(grace));
    DrainRecorder recorder;
    std::vector<std::unique_ptr<BusyCaller>> callers;
    std::vector<RelayKind> kinds(60, RelayKind::Write);
    kinds.front() = RelayKind::Begin;
    kinds.back() = RelayKind::Rollback;
    callers.push_back(std::make_unique<BusyCaller>(scene, kinds));
    drain.startDraining(recorder.recordingSteps());
    advanceCallers(scene, callers, grace / 2 + delay + 100);
    const auto& answers = callers.front()->answers();
    const auto failed = std::find_if(answers.begin(), answers.end(), [](const RelayAnswer& it) { return it.error != RelayError::None; });
    REQUIRE(failed != answers.end());
    CHECK(failed->error == RelayError::Aborted);
    CHECK(scene.targets.committed.empty());
    // The caller learns of the end before its connection is closed.
    advanceCallers(scene, callers, 100);
    CHECK(callers.front()->isOver());
    CHECK(answers.size() == callers.front()->sent());
    CHECK(answers.back().state == TransactionState::Idle);
}

TEST_CASE("a session whose transaction commits during a drain is closed with the answer to its commit", "[relay]")
{
    RelayFixture scene;
    scene.targets[TargetId("one")].delay = Milliseconds(60);
    RelayDrain drain(scene.loop, scene.relay, Milliseconds(6000));
    DrainRecorder recorder;
    std::vector<std::unique_ptr<BusyCaller>> callers;
    callers.push_back(std::make_unique<BusyCaller>(scene, std::vector<RelayKind> { RelayKind::Begin, RelayKind::Write, RelayKind::Write, RelayKind::Commit }));
    drain.startDraining(recorder.recordingSteps());
    advanceCallers(scene, callers, 3000);
    REQUIRE(callers.front()->isOver());
    const auto& answers = callers.front()->answers();
    CHECK(answers.size() == callers.front()->sent());
    CHECK(answers.size() % 4 == 0);
    CHECK(scene.targets.committed.size() == answers.size() / 4);
    for (const auto& it : answers)
        CHECK(it.error == RelayError::None);
}

TEST_CASE("a drain closes a session only once its last answer is sent", "[relay]")
{
    RelayFixture scene;
    RelayDrain drain(scene.loop, scene.relay, Milliseconds(6000));
    TestCaller caller(scene.relay, "orders");
    caller.isSlow = true;
    caller.send(RelayKind::Read, "READ 1");
    DrainRecorder recorder;
    drain.startDraining(recorder.recordingSteps());
    const double whenSent = GENERATE(4000, 5500);
    scene.run(whenSent);
    CHECK(caller.answers.size() == 1);
    CHECK_FALSE(caller.isClosed);
    caller.isSlow = false;
    scene.run(50);
    CHECK(caller.isClosed);
}

// Guards against statements of a peer's other callers whose outcome would be unknown.
TEST_CASE("a session of a peer daemon is closed by a drain only when it is found idle", "[relay]")
{
    RelayFixture scene;
    scene.targets[TargetId("one")].delay = Milliseconds(120);
    RelayDrain drain(scene.loop, scene.relay, Milliseconds(6000));
    TestCaller peer(scene.relay, "orders", "~parsleypaddle", CallerKind::Peer);
    DrainRecorder recorder;
    drain.startDraining(recorder.recordingSteps());
    scene.run(2150);
    peer.send(RelayKind::Write, "WRITE 1 a");
    scene.run(150);
    CHECK_FALSE(peer.isClosed);
    CHECK(peer.isReceiving);
    scene.run(600);
    CHECK(peer.answers.size() == 1);
    CHECK(peer.isClosed);
}
