#include "relay/RelayFixture.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

// Guards against statements that are said to be in doubt although nothing was sent.
TEST_CASE("a write whose connection was closed before it was sent runs on another one", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    scene.targets[TargetId("one")].closedBeforeSending = 2;
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(50);
    CHECK(caller.last().error == RelayError::None);
    CHECK(scene.ran("WRITE 1 a").size() == 1);
    CHECK(scene.primaryFailures == 0);
}

TEST_CASE("a write whose connections are all closed before it is sent is refused as not run", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    scene.targets[TargetId("one")].closedBeforeSending = 1000;
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(3000);
    CHECK(caller.last().error == RelayError::Busy);
    CHECK(scene.ran("WRITE 1 a").empty());
}

TEST_CASE("a commit that was not sent because its connection is closed is aborted and not in doubt", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    caller.send(RelayKind::Begin);
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(50);
    scene.targets[TargetId("one")].closedBeforeSending = 1;
    caller.send(RelayKind::Commit, "COMMIT");
    scene.run(50);
    CHECK(caller.last().error == RelayError::Aborted);
    CHECK(scene.ran("COMMIT").empty());
    CHECK(scene.primaryFailures == 0);
}

// Guards against a primary that is replaced although it answers.
TEST_CASE("a write whose answers are out of step is in doubt, a read runs again, and the primary is not suspected", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    scene.targets[TargetId("one")].isNextOutOfStep = true;
    caller.send(RelayKind::Read, "READ 1");
    scene.run(50);
    CHECK(caller.last().error != RelayError::InDoubt);
    // The first batch at a primary may ask for its role.
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(50);
    REQUIRE(caller.last().error == RelayError::None);
    scene.targets[TargetId("one")].isNextOutOfStep = true;
    caller.send(RelayKind::Write, "WRITE 2 a");
    scene.run(50);
    CHECK(scene.ran("WRITE 2 a").size() == 1);
    CHECK(caller.last().error == RelayError::InDoubt);
    CHECK(scene.primaryFailures == 0);
}

// Guards against the use of a session that ended because its caller was disconnected while an answer was sent.
TEST_CASE("a session outlives the answer that disconnects its caller", "[relay]")
{
    class LeavingCaller final : public CallerPort {
    public:
        void answer(const RelayAnswer&) override
        {
            session->detach();
            std::weak_ptr<CallerSession> left = session;
            session.reset();
            outlivesAnswer = !left.expired();
        }
        void close() override { }
        bool hasUnsentAnswers() const override { return false; }
        void closeIfAnswered() override { }

        std::shared_ptr<CallerSession> session;
        bool outlivesAnswer { false };
    };
    RelayFixture scene;
    LeavingCaller caller;
    caller.session = CallerSession::create(scene.relay, DatabaseId("orders"), CallerKey("shop"), CallerKind::Caller, caller);
    RelayStep step;
    step.kind = RelayKind::SetValue;
    step.name = "x";
    CallerSession& session = *caller.session;
    session.runOrQueue(step);
    CHECK(caller.outlivesAnswer);
}
