#include "relay/OrganisationFixture.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

TEST_CASE("a session is opened with a known key, refused with an unknown one, and needs none on a public route", "[relay]")
{
    RelayFixture scene;
    scene.setPublic("prices");
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    CHECK(scene.relay.checkSession(DatabaseId("orders"), CallerKey("k-acme-1"), CallerKind::Caller).error == RelayError::None);
    CHECK(scene.relay.checkSession(DatabaseId("orders"), CallerKey("k-other-1"), CallerKind::Caller).error == RelayError::Unauthorized);
    CHECK(scene.relay.checkSession(DatabaseId("prices"), CallerKey("k-other-1"), CallerKind::Caller).error == RelayError::None);
    CHECK(scene.relay.checkSession(DatabaseId("nowhere"), CallerKey("k-other-1"), CallerKind::Caller).error == RelayError::UnknownDatabase);
    CHECK(scene.relay.checkSession(DatabaseId("orders"), CallerKey("~parsleypaddle"), CallerKind::Peer).error == RelayError::None);
    CHECK(linesWith(scene, "session_refused") == 1);
}

TEST_CASE("an idle session is closed without a message when its key is withdrawn", "[relay]")
{
    RelayFixture scene;
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1", "k-acme-2" }) });
    TestCaller kept(scene.relay, "orders", "k-acme-1");
    TestCaller ended(scene.relay, "orders", "k-acme-2");
    ended.send(RelayKind::Prepare, "PREPARE s1 WRITE x", "s1", "WRITE x");
    REQUIRE(ended.answers.size() == 1);
    scene.setOrganisations(3, { entryOf("acme", { "k-acme-1" }) });
    CHECK(ended.isClosed);
    CHECK(ended.answers.size() == 1);
    CHECK_FALSE(kept.isClosed);
    CHECK(linesWith(scene, "session_ended") == 1);
    // A session that its connection has not left yet is refused.
    ended.send(RelayKind::Execute, "EXECUTE s1 1 a", "s1", "1 a");
    scene.run(100);
    CHECK(ended.last().error == RelayError::Unauthorized);
    CHECK(scene.targets.executed.empty());
}

TEST_CASE("a running statement is answered before the session of a withdrawn key ends, and queued ones are refused", "[relay]")
{
    RelayFixture scene;
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    TestCaller caller(scene.relay, "orders", "k-acme-1");
    caller.send(RelayKind::Write, "WRITE 1 a");
    caller.send(RelayKind::Write, "WRITE 2 b");
    caller.send(RelayKind::Write, "WRITE 3 c");
    scene.setOrganisations(3, { entryOf("acme", { "k-acme-2" }) });
    CHECK_FALSE(caller.isClosed);
    scene.run(100);
    REQUIRE(caller.answers.size() == 3);
    CHECK(caller.answers[0].error == RelayError::None);
    CHECK(caller.answers[1].error == RelayError::Unauthorized);
    CHECK(caller.answers[2].error == RelayError::Unauthorized);
    CHECK(caller.isClosed);
    CHECK(scene.ran("WRITE 2 b").empty());
    CHECK(scene.ran("WRITE 3 c").empty());
}

TEST_CASE("the transaction of a withdrawn key is rolled back, at once or when its running statement is answered", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(1.0 / 9);
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }), entryOf("foil", { "k-foil-1" }) });
    const bool isRunning = GENERATE(false, true);
    CAPTURE(isRunning);
    TestCaller caller(scene.relay, "orders", "k-acme-1");
    caller.send(RelayKind::Begin);
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(100);
    REQUIRE(caller.answers.size() == 2);
    if (isRunning) {
        caller.send(RelayKind::Write, "WRITE 2 b");
        caller.send(RelayKind::Commit, "COMMIT");
    }
    scene.setOrganisations(3, { entryOf("foil", { "k-foil-1" }) });
    CHECK(caller.isClosed == !isRunning);
    scene.run(100);
    CHECK(caller.isClosed);
    if (isRunning) {
        REQUIRE(caller.answers.size() == 4);
        CHECK(caller.answers[2].error == RelayError::None);
        CHECK(caller.answers[3].error == RelayError::Unauthorized);
    }
    CHECK(scene.targets.committed.empty());
    // The connection is free for others, without an open transaction.
    TestCaller next(scene.relay, "orders", "k-foil-1");
    next.send(RelayKind::Write, "WRITE 3 c");
    scene.run(100);
    REQUIRE(scene.ran("WRITE 3 c").size() == 1);
    CHECK_FALSE(scene.ran("WRITE 3 c")[0].wasInTransaction);
}

// The key is in force when the queued statement starts, so refusing it would be wrong.
TEST_CASE("a key that is withdrawn and given back while a statement runs does not end its session", "[relay]")
{
    RelayFixture scene;
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    TestCaller caller(scene.relay, "orders", "k-acme-1");
    caller.send(RelayKind::Write, "WRITE 1 a");
    caller.send(RelayKind::Write, "WRITE 2 b");
    scene.setOrganisations(3, {});
    scene.setOrganisations(4, { entryOf("acme", { "k-acme-1" }) });
    scene.run(100);
    CHECK_FALSE(caller.isClosed);
    CHECK(caller.last().error == RelayError::None);
    CHECK(caller.answers.size() == 2);
}

TEST_CASE("emptied tenants end every session except those on public routes", "[relay]")
{
    RelayFixture scene;
    scene.setPublic("prices");
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    TestCaller keyed(scene.relay, "orders", "k-acme-1");
    TestCaller open(scene.relay, "prices", "k-acme-1");
    scene.setOrganisations(3, {});
    CHECK(keyed.isClosed);
    CHECK_FALSE(open.isClosed);
    open.send(RelayKind::Read, "READ 1");
    scene.run(100);
    CHECK(open.last().error == RelayError::None);
}

// A store that was restored from an older copy may show an older configuration.
TEST_CASE("an older configuration makes no withdrawn key valid again", "[relay]")
{
    RelayFixture scene;
    scene.setOrganisations(3, { entryOf("acme", { "k-acme-2" }) });
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    CHECK(scene.relay.checkSession(DatabaseId("orders"), CallerKey("k-acme-1"), CallerKind::Caller).error == RelayError::Unauthorized);
    CHECK(scene.relay.checkSession(DatabaseId("orders"), CallerKey("k-acme-2"), CallerKind::Caller).error == RelayError::None);
}
