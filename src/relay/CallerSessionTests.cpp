#include "relay/RelayFixture.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

TEST_CASE("a write is answered with the target's signature, and a read of the same session returns rows", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "proofs");
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(50);
    REQUIRE(caller.answers.size() == 1);
    CHECK(caller.last().error == RelayError::None);
    CHECK(caller.last().signature == "signed-by-one");
    caller.send(RelayKind::Read, "READ 1");
    scene.run(50);
    REQUIRE(caller.answers.size() == 2);
    CHECK(caller.last().rows == std::vector<std::string> { "row" });
}

TEST_CASE("a transaction runs on one connection, and no other session's statement runs inside it", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(1.0 / 9);
    TestCaller first(scene.relay, "orders");
    TestCaller second(scene.relay, "orders");
    first.send(RelayKind::Begin);
    first.send(RelayKind::Write, "WRITE 1 a");
    scene.run(50);
    second.send(RelayKind::Write, "WRITE 2 b");
    scene.run(50);
    first.send(RelayKind::Commit, "COMMIT");
    scene.run(50);
    REQUIRE(scene.ran("WRITE 1 a").size() == 1);
    REQUIRE(scene.ran("WRITE 2 b").size() == 1);
    CHECK(scene.ran("WRITE 1 a")[0].connection == scene.ran("COMMIT")[0].connection);
    CHECK_FALSE(scene.ran("WRITE 2 b")[0].wasInTransaction);
    CHECK(first.last().error == RelayError::None);
    CHECK(first.last().state == TransactionState::Idle);
}

// Guards against a transaction left open on a pooled connection: the caller disconnects while one of the transaction's
// statements is running.
TEST_CASE("a caller that disconnects during a statement leaves no open transaction on the connection", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(1.0 / 9);
    {
        TestCaller caller(scene.relay, "orders");
        caller.send(RelayKind::Begin);
        caller.send(RelayKind::Write, "WRITE 1 a");
        scene.run(50);
        caller.send(RelayKind::Write, "WRITE 2 b");
        scene.run(1);
    }
    scene.run(50);
    TestCaller next(scene.relay, "orders");
    next.send(RelayKind::Write, "WRITE 3 c");
    scene.run(50);
    REQUIRE(scene.ran("WRITE 3 c").size() == 1);
    CHECK_FALSE(scene.ran("WRITE 3 c")[0].wasInTransaction);
    REQUIRE(scene.targets.committed.size() == 1);
    CHECK(scene.targets.committed[0].text == "WRITE 3 c");
}

// Guards against statements that run although their callers have disconnected: callers disconnect while their statements
// wait for a connection to a busy target.
TEST_CASE("a statement waiting for a connection is dropped when its caller disconnects", "[relay]")
{
    RelayFixture scene;
    scene.targets[TargetId("one")].delay = Milliseconds(30);
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int n = 0; n < 40; ++n) {
        callers.push_back(std::make_unique<TestCaller>(scene.relay, "orders"));
        callers.back()->send(RelayKind::Write, "WRITE " + std::to_string(n) + " a");
    }
    scene.run(40);
    const size_t sent = scene.targets[TargetId("one")].connections;
    REQUIRE(sent > 0);
    REQUIRE(sent < callers.size());
    callers.clear();
    scene.run(1000);
    CHECK(scene.targets.committed.size() <= sent);
}

TEST_CASE("a caller that disconnects during the first statement of a transaction leaves no open transaction", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(1.0 / 9);
    {
        TestCaller caller(scene.relay, "orders");
        caller.send(RelayKind::Begin);
        caller.send(RelayKind::Write, "WRITE 1 a");
        scene.run(7);
    }
    scene.run(50);
    TestCaller next(scene.relay, "orders");
    next.send(RelayKind::Write, "WRITE 3 c");
    scene.run(50);
    REQUIRE(scene.ran("WRITE 3 c").size() == 1);
    CHECK_FALSE(scene.ran("WRITE 3 c")[0].wasInTransaction);
}

TEST_CASE("a failed first statement ends its transaction at the target", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(1.0 / 9);
    TestCaller caller(scene.relay, "orders");
    scene.targets[TargetId("one")].fails = true;
    caller.send(RelayKind::Begin);
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(50);
    CHECK(caller.last().error == RelayError::Failed);
    CHECK(caller.last().state == TransactionState::Failed);
    scene.targets[TargetId("one")].fails = false;
    TestCaller next(scene.relay, "orders");
    next.send(RelayKind::Write, "WRITE 2 b");
    scene.run(50);
    CHECK_FALSE(scene.ran("WRITE 2 b")[0].wasInTransaction);
}

TEST_CASE("a failed transaction rejects a read and accepts a rollback", "[relay]")
{
    RelayFixture scene;
    scene.targets[TargetId("one")].fails = true;
    TestCaller caller(scene.relay, "orders");
    caller.send(RelayKind::Begin);
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(50);
    caller.send(RelayKind::Read, "READ 1");
    scene.run(50);
    CHECK(caller.last().error == RelayError::Malformed);
    caller.send(RelayKind::Rollback, "ROLLBACK");
    scene.run(50);
    CHECK(caller.last().error == RelayError::None);
    CHECK(caller.last().state == TransactionState::Idle);
}

TEST_CASE("a session's variables apply to its own statements and not to another session's", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(1.0 / 9);
    TestCaller first(scene.relay, "orders", "a");
    TestCaller second(scene.relay, "orders", "b");
    first.send(RelayKind::SetValue, "SET zone west", "zone", "west");
    first.send(RelayKind::Read, "READ 1");
    scene.run(50);
    second.send(RelayKind::Read, "READ 2");
    scene.run(50);
    first.send(RelayKind::Read, "READ 3");
    scene.run(50);
    CHECK(scene.ran("READ 1")[0].values == std::map<std::string, std::string> { { "zone", "west" } });
    CHECK(scene.ran("READ 2")[0].values.empty());
    CHECK(scene.ran("READ 3")[0].values == std::map<std::string, std::string> { { "zone", "west" } });
}

TEST_CASE("a prepared statement's name refers to the definition of its own session", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(1.0 / 9);
    TestCaller first(scene.relay, "orders", "a");
    TestCaller second(scene.relay, "orders", "b");
    first.send(RelayKind::Prepare, "", "s1", "READ x");
    second.send(RelayKind::Prepare, "", "s1", "READ y");
    first.send(RelayKind::Execute, "", "s1", "1");
    scene.run(50);
    second.send(RelayKind::Execute, "", "s1", "1");
    scene.run(50);
    CHECK(scene.ran("EXECUTE p0").size() == 1);
    CHECK(scene.ran("EXECUTE p1").size() == 1);
    second.send(RelayKind::Execute, "", "s2", "1");
    scene.run(50);
    CHECK(second.last().error == RelayError::UnknownStatement);
}

TEST_CASE("a write whose connection is lost is in doubt, and is not retried", "[relay]")
{
    RelayFixture scene;
    scene.targets[TargetId("one")].losesNextAnswer = true;
    TestCaller caller(scene.relay, "orders");
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(500);
    REQUIRE(caller.answers.size() == 1);
    CHECK(caller.last().error == RelayError::InDoubt);
    CHECK(scene.ran("WRITE 1 a").size() == 1);
}

TEST_CASE("a read whose connection is lost is retried", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "prices");
    caller.send(RelayKind::Read, "READ 0");
    scene.run(100);
    for (const char* it : { "one", "two", "three" })
        scene.targets[TargetId(it)].losesNextAnswer = true;
    scene.targets[TargetId("three")].losesNextAnswer = false;
    caller.send(RelayKind::Read, "READ 1");
    scene.run(500);
    REQUIRE(caller.answers.size() == 2);
    CHECK(caller.last().error == RelayError::None);
}

TEST_CASE("a transaction idle for too long is rolled back, and its commit is answered with Aborted", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    caller.send(RelayKind::Begin);
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(4000);
    caller.send(RelayKind::Commit, "COMMIT");
    scene.run(50);
    CHECK(caller.last().error == RelayError::Aborted);
    CHECK(caller.last().state == TransactionState::Idle);
    CHECK(scene.targets.committed.empty());
}

TEST_CASE("an empty transaction is committed at a target", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    caller.send(RelayKind::Begin);
    caller.send(RelayKind::Commit, "COMMIT");
    scene.run(50);
    CHECK(caller.last().error == RelayError::None);
    CHECK(caller.last().signature == "signed-by-one");
    CHECK(caller.last().state == TransactionState::Idle);
}

TEST_CASE("a statement on a database whose route was removed is answered with UnknownDatabase", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    auto table = std::make_shared<RouteTable>();
    table->version = ConfigurationVersion(2);
    scene.relay.setRoutes(table);
    caller.send(RelayKind::Read, "READ 1");
    scene.run(50);
    CHECK(caller.last().error == RelayError::UnknownDatabase);
}

// Guards against false denials: where there are no organisations, a daemon denied databases that had been added while nothing confirmed its
// configuration.
TEST_CASE("a database without a route is refused as busy while the configuration is not confirmed", "[relay]")
{
    RelayFixture scene;
    Milliseconds age(5001);
    scene.relay.identification().setRevocation({}, [&age] { return age; });
    CHECK(scene.relay.checkSession(DatabaseId("added"), CallerKey(), CallerKind::Caller).error == RelayError::Busy);
    TestCaller caller(scene.relay, "orders");
    auto table = std::make_shared<RouteTable>();
    table->version = ConfigurationVersion(2);
    scene.relay.setRoutes(table);
    caller.send(RelayKind::Read, "READ 1");
    scene.run(50);
    CHECK(caller.last().error == RelayError::Busy);
    age = Milliseconds(5000);
    caller.send(RelayKind::Begin);
    scene.run(50);
    CHECK(caller.last().error == RelayError::UnknownDatabase);
    CHECK(scene.relay.checkSession(DatabaseId("added"), CallerKey(), CallerKind::Caller).error == RelayError::UnknownDatabase);
}

// Guards against interrupted statements: a stopping daemon rolls back open transactions while one of them runs a statement.
TEST_CASE("a transaction is not rolled back while one of its statements is running", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    caller.send(RelayKind::Begin);
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(50);
    caller.send(RelayKind::Write, "WRITE 2 b");
    caller.session().endTransaction("the daemon is shutting down");
    scene.run(50);
    REQUIRE(caller.answers.size() == 3);
    CHECK(caller.last().error == RelayError::None);
    caller.session().endTransaction("the daemon is shutting down");
    caller.send(RelayKind::Commit, "COMMIT");
    scene.run(50);
    CHECK(caller.last().error == RelayError::Aborted);
    CHECK(scene.targets.committed.empty());
}
