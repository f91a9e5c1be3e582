#include "relay/OrganisationFixture.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

TEST_CASE("the quota is asked once for each operation of an identified caller", "[relay]")
{
    RelayFixture scene;
    scene.setPublic("prices");
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    RecordedQuota quota;
    scene.relay.setQuota(&quota);
    TestCaller caller(scene.relay, "orders", "k-acme-1");
    caller.send(RelayKind::SetValue, "SET zone west", "zone", "west");
    caller.send(RelayKind::Read, "READ 1");
    scene.run(100);
    CHECK(quota.asked == std::vector<OrganisationId> { OrganisationId("acme") });
    caller.send(RelayKind::Begin);
    scene.run(10);
    CHECK(quota.asked.size() == 1);
    caller.send(RelayKind::Write, "WRITE 1 a");
    caller.send(RelayKind::Write, "WRITE 2 b");
    caller.send(RelayKind::Commit, "COMMIT");
    scene.run(100);
    CHECK(caller.last().error == RelayError::None);
    CHECK(quota.asked.size() == 2);
    TestCaller open(scene.relay, "prices", "k-acme-1");
    open.send(RelayKind::Read, "READ 1");
    TestCaller peer(scene.relay, "orders", "~parsleypaddle", CallerKind::Peer);
    peer.sendFor({ OrganisationId("acme"), {} }, RelayKind::Read, "READ 1");
    scene.run(100);
    CHECK(open.last().error == RelayError::None);
    CHECK(peer.last().error == RelayError::None);
    CHECK(quota.asked.size() == 2);
}

TEST_CASE("a statement that the quota refuses is answered with Busy and the delay, and does not run", "[relay]")
{
    RelayFixture scene;
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    RecordedQuota quota;
    quota.decision = { false, Milliseconds(340) };
    scene.relay.setQuota(&quota);
    TestCaller caller(scene.relay, "orders", "k-acme-1");
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(100);
    CHECK(caller.last().error == RelayError::Busy);
    CHECK(caller.last().errorText == "the organisation is over its limit of operations; come back in 340 ms");
    CHECK(linesWith(scene, "quota_refused") == 1);
    caller.send(RelayKind::Begin);
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(100);
    CHECK(caller.last().error == RelayError::Busy);
    CHECK(caller.last().state == TransactionState::Failed);
    caller.send(RelayKind::Rollback, "ROLLBACK");
    CHECK(caller.last().state == TransactionState::Idle);
    caller.send(RelayKind::Begin);
    caller.send(RelayKind::Commit, "COMMIT");
    scene.run(100);
    CHECK(caller.last().error == RelayError::Busy);
    CHECK(caller.last().state == TransactionState::Idle);
    CHECK(scene.targets.executed.empty());
    CHECK(scene.targets.committed.empty());
}

TEST_CASE("a session counts as running while the quota decides", "[relay]")
{
    RelayFixture scene;
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    RecordedQuota quota;
    quota.isWaiting = true;
    scene.relay.setQuota(&quota);
    TestCaller caller(scene.relay, "orders", "k-acme-1");
    caller.send(RelayKind::Write, "WRITE 1 a");
    caller.send(RelayKind::Write, "WRITE 2 b");
    scene.run(100);
    CHECK(caller.session().hasUnansweredStatement());
    CHECK(quota.asked.size() == 1);
    CHECK(scene.targets.executed.empty());
    quota.isWaiting = false;
    quota.decide({});
    scene.run(100);
    CHECK(caller.answers.size() == 2);
    CHECK(caller.last().error == RelayError::None);
    CHECK(scene.ran("WRITE 1 a").size() == 1);
}

// The allowance may arrive after the withdrawal, or after the caller has left.
TEST_CASE("a statement that waits for the quota does not run when its key is withdrawn or its caller disconnects", "[relay]")
{
    RelayFixture scene;
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    RecordedQuota quota;
    quota.isWaiting = true;
    scene.relay.setQuota(&quota);
    TestCaller withdrawn(scene.relay, "orders", "k-acme-1");
    TestCaller gone(scene.relay, "orders", "k-acme-1");
    withdrawn.send(RelayKind::Write, "WRITE 1 a");
    gone.send(RelayKind::Write, "WRITE 2 b");
    gone.disconnect();
    scene.setOrganisations(3, {});
    CHECK_FALSE(withdrawn.isClosed);
    quota.decide({});
    scene.run(100);
    REQUIRE(withdrawn.answers.size() == 1);
    CHECK(withdrawn.last().error == RelayError::Unauthorized);
    CHECK(withdrawn.isClosed);
    CHECK(scene.targets.executed.empty());
}

TEST_CASE("with the setting, statements of organisations are refused while nothing confirms the configuration", "[relay]")
{
    RelayFixture scene;
    scene.setPublic("prices");
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1" }) });
    Milliseconds age(0);
    scene.relay.identification().setRevocation({ true, Milliseconds(5000), Milliseconds(5000) }, [&age] { return age; });
    TestCaller caller(scene.relay, "orders", "k-acme-1");
    TestCaller inTransaction(scene.relay, "orders", "k-acme-1");
    TestCaller open(scene.relay, "prices", "k-acme-1");
    inTransaction.send(RelayKind::Begin);
    inTransaction.send(RelayKind::Write, "WRITE 1 a");
    scene.run(100);
    age = Milliseconds(5001);
    caller.send(RelayKind::Write, "WRITE 2 b");
    open.send(RelayKind::Read, "READ 3");
    inTransaction.send(RelayKind::Commit, "COMMIT");
    scene.run(100);
    CHECK(caller.last().error == RelayError::Busy);
    CHECK(caller.last().errorText.find("come back in") != std::string::npos);
    CHECK(inTransaction.last().error == RelayError::Aborted);
    CHECK(inTransaction.last().state == TransactionState::Idle);
    CHECK(open.last().error == RelayError::None);
    CHECK(scene.targets.committed.empty());
    CHECK(scene.relay.checkSession(DatabaseId("orders"), CallerKey("k-acme-1"), CallerKind::Caller).error == RelayError::Busy);
    age = Milliseconds(10);
    caller.send(RelayKind::Write, "WRITE 4 d");
    scene.run(100);
    CHECK(caller.last().error == RelayError::None);
}

// Keys are secrets: whoever may read logs or metrics must not be able to act for an organisation.
TEST_CASE("no key reaches a log line, a metric or an answer", "[relay]")
{
    RelayFixture scene;
    scene.setPublic("prices");
    const std::vector<std::string> keys { "k-acme-1", "k-acme-2", "k-unknown-1" };
    scene.setOrganisations(2, { entryOf("acme", { "k-acme-1", "k-acme-2" }) });
    RecordedQuota quota;
    scene.relay.setQuota(&quota);
    std::vector<std::unique_ptr<TestCaller>> callers;
    std::string texts;
    for (const auto& key : keys) {
        for (const std::string database : { "orders", "prices", "proofs" }) {
            texts += scene.relay.checkSession(DatabaseId(database), CallerKey(key), CallerKind::Caller).errorText;
            callers.push_back(std::make_unique<TestCaller>(scene.relay, database, key));
        }
    }
    const auto sendAll = [&](RelayKind kind, const std::string& text) {
        for (const auto& it : callers)
            it->send(kind, text);
        scene.run(1500);
    };
    sendAll(RelayKind::Write, "WRITE 1 a");
    scene.isLeaseValid = false;
    sendAll(RelayKind::Write, "WRITE 1 a");
    scene.isLeaseValid = true;
    scene.targets[TargetId("one")].isDown = true;
    sendAll(RelayKind::Write, "WRITE 1 a");
    sendAll(RelayKind::Begin, "BEGIN");
    sendAll(RelayKind::Write, "WRITE 1 a");
    sendAll(RelayKind::Rollback, "ROLLBACK");
    scene.targets[TargetId("one")].isDown = false;
    quota.decision = { false, Milliseconds(100) };
    sendAll(RelayKind::Read, "READ 1");
    scene.setOrganisations(3, { entryOf("acme", { "k-acme-1" }) });
    auto without = std::make_shared<RouteTable>(*scene.relay.routes());
    without->version = ConfigurationVersion(4);
    without->organisations = nullptr;
    scene.relay.setRoutes(std::move(without));
    scene.isLeaseValid = false;
    sendAll(RelayKind::Write, "WRITE 1 a");
    for (const auto& it : scene.logLines)
        texts += it + "\n";
    for (const auto& it : callers) {
        for (const auto& answer : it->answers)
            texts += answer.errorText + "\n";
    }
    texts += scene.metrics.text();
    for (const auto& event : { "session_refused", "session_ended", "statement_refused", "quota_refused" })
        CHECK(texts.find(event) != std::string::npos);
    CHECK(texts.find("acme") != std::string::npos);
    for (const auto& key : keys)
        CHECK(texts.find(key) == std::string::npos);
}
