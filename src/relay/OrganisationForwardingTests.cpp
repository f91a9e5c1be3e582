#include "relay/OrganisationFixture.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

TEST_CASE("without organisations every caller may open a session, and statements are forwarded as before", "[relay]")
{
    RelayFixture scene;
    forwardAll(scene);
    CHECK(scene.relay.checkSession(DatabaseId("orders"), CallerKey("u3f1"), CallerKind::Caller).error == RelayError::None);
    TestCaller caller(scene.relay, "orders", "u3f1");
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(300);
    REQUIRE(scene.ran("WRITE 1 a").size() == 1);
    CHECK_FALSE(scene.ran("WRITE 1 a")[0].forwardedFor);
    CHECK(scene.metrics.text().find("u3f1") != std::string::npos);
}

TEST_CASE("each statement that is forwarded says for whom it runs and how long it has waited, also in a transaction", "[relay]")
{
    RelayFixture scene;
    forwardAll(scene);
    scene.setPublic("prices");
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    TestCaller caller(scene.relay, "orders", "k-acme-1");
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(300);
    caller.send(RelayKind::Begin);
    caller.send(RelayKind::Write, "WRITE 2 b");
    caller.send(RelayKind::Read, "READ 2");
    caller.send(RelayKind::Commit, "COMMIT");
    scene.run(300);
    for (const std::string text : { "WRITE 1 a", "WRITE 2 b", "READ 2", "COMMIT" }) {
        CAPTURE(text);
        REQUIRE(scene.ran(text).size() == 1);
        REQUIRE(scene.ran(text)[0].forwardedFor);
        CHECK(scene.ran(text)[0].forwardedFor->organisation == OrganisationId("acme"));
    }
    // Opening the connection took two milliseconds.
    CHECK(scene.ran("WRITE 1 a")[0].forwardedFor->waited >= Milliseconds(2));
    TestCaller open(scene.relay, "prices", "k-other-1");
    open.send(RelayKind::Read, "READ 3");
    scene.run(300);
    REQUIRE(scene.ran("READ 3").size() == 1);
    REQUIRE(scene.ran("READ 3")[0].forwardedFor);
    CHECK(scene.ran("READ 3")[0].forwardedFor->organisation.isEmpty());
}

// A target must never see for whom another daemon forwarded a statement: it would not understand the statement.
TEST_CASE("a home runs a forwarded statement for its organisation, and the target receives the plain statement", "[relay]")
{
    RelayFixture scene;
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    TestCaller peer(scene.relay, "orders", "~parsleypaddle", CallerKind::Peer);
    peer.sendFor({ OrganisationId("acme"), Milliseconds(5) }, RelayKind::Write, "WRITE 1 a");
    scene.run(100);
    CHECK(peer.last().error == RelayError::None);
    REQUIRE(scene.ran("WRITE 1 a").size() == 1);
    CHECK_FALSE(scene.ran("WRITE 1 a")[0].forwardedFor);
    CHECK(scene.metrics.text().find("acme") != std::string::npos);
    peer.send(RelayKind::Write, "WRITE 2 b");
    scene.run(100);
    CHECK(peer.last().error == RelayError::Busy);
    CHECK(scene.ran("WRITE 2 b").empty());
}

// Without it, a home grants a statement that its caller has given up a whole new time-out.
TEST_CASE("the time-out of a forwarded statement starts when its caller's did", "[relay]")
{
    RelayFixture scene;
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    scene.targets[TargetId("one")].isSilent = true;
    const auto answeredAfter = [&](double waited) {
        TestCaller peer(scene.relay, "orders", "~parsleypaddle", CallerKind::Peer);
        const Instant from = scene.loop.now();
        peer.sendFor({ OrganisationId("acme"), Milliseconds(waited) }, RelayKind::Write, "WRITE 1 a");
        while (peer.answers.empty())
            scene.run(1);
        return scene.loop.now() - from;
    };
    CHECK(answeredAfter(0) > Milliseconds(190));
    CHECK(answeredAfter(150) < Milliseconds(80));
    // Wrong values are bounded.
    CHECK(answeredAfter(1e9) < Milliseconds(30));
    CHECK(answeredAfter(-500) < Milliseconds(900));
}

// The connection of a transaction belongs to one organisation.
TEST_CASE("a forwarded statement for another organisation than its transaction aborts the transaction", "[relay]")
{
    RelayFixture scene;
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }), entryOf("foil", { "k-foil-1" }) });
    TestCaller peer(scene.relay, "orders", "~parsleypaddle", CallerKind::Peer);
    peer.send(RelayKind::Begin);
    peer.sendFor({ OrganisationId("acme"), {} }, RelayKind::Write, "WRITE 1 a");
    scene.run(100);
    CHECK(peer.last().state == TransactionState::Open);
    peer.sendFor({ OrganisationId("foil"), {} }, RelayKind::Write, "WRITE 2 b");
    scene.run(100);
    CHECK(peer.last().error == RelayError::Aborted);
    CHECK(peer.last().state == TransactionState::Failed);
    CHECK(scene.ran("WRITE 2 b").empty());
    CHECK(scene.targets.committed.empty());
}

TEST_CASE("a key that moves to another organisation acts for it from the next transaction on", "[relay]")
{
    RelayFixture scene;
    forwardAll(scene);
    scene.setOrganisations(2, { entryOf("acme", { "k-moved-1" }), entryOf("foil", {}) });
    TestCaller caller(scene.relay, "orders", "k-moved-1");
    caller.send(RelayKind::Begin);
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(300);
    scene.setOrganisations(3, { entryOf("acme", {}), entryOf("foil", { "k-moved-1" }) });
    CHECK_FALSE(caller.isClosed);
    caller.send(RelayKind::Write, "WRITE 2 b");
    caller.send(RelayKind::Commit, "COMMIT");
    caller.send(RelayKind::Write, "WRITE 3 c");
    scene.run(300);
    const auto organisationOf = [&](const std::string& text) {
        REQUIRE(scene.ran(text).size() == 1);
        REQUIRE(scene.ran(text)[0].forwardedFor);
        return scene.ran(text)[0].forwardedFor->organisation;
    };
    CHECK(organisationOf("WRITE 1 a") == OrganisationId("acme"));
    CHECK(organisationOf("WRITE 2 b") == OrganisationId("acme"));
    CHECK(organisationOf("COMMIT") == OrganisationId("acme"));
    CHECK(organisationOf("WRITE 3 c") == OrganisationId("foil"));
}
