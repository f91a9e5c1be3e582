#include "relay/RelayFixture.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

/// Adds `daemons` daemons, alternating between two failure domains. With many of them, a target does not accept
/// enough connections for all.
void addDaemons(RelayFixture& scene, int daemons)
{
    PlatformList list;
    for (int n = 0; n < daemons; ++n) {
        const std::string name = "daemon-" + std::to_string(n);
        list.instances.push_back({ InstanceId(name), FailureDomainId(n % 2 == 0 ? "domain-one" : "domain-two"), name, 1, 0, false });
    }
    scene.membership.setPlatformList(list);
    scene.relay.setConnectionShare(1.0 / daemons);
}

/// Lets the daemon share the group's targets as one of eight homes, with eight connections to each target.
void becomeHome(RelayFixture& scene)
{
    addDaemons(scene, 48);
    scene.group().setConnectionLimit(100, 1.0 / 48);
}

/// Callers whose statements other daemons have forwarded to this one.
std::vector<std::unique_ptr<TestCaller>> forwardedCallers(RelayFixture& scene, size_t n)
{
    std::vector<std::unique_ptr<TestCaller>> callers;
    while (callers.size() < n)
        callers.push_back(std::make_unique<TestCaller>(scene.relay, "orders", "shop-" + std::to_string(callers.size()), CallerKind::Peer));
    return callers;
}

/// Runs a read at the primary, so that the daemon obtains the log mark that reads at replicas require.
void obtainLogMark(RelayFixture& scene)
{
    TestCaller caller(scene.relay, "orders");
    caller.send(RelayKind::Read, "READ mark");
    scene.run(50);
}

}

TEST_CASE("a read at a replica carries the log mark that its read rule requires", "[relay]")
{
    RelayFixture scene;
    obtainLogMark(scene);
    TestCaller caller(scene.relay, "prices");
    scene.isLeaseValid = false;
    caller.send(RelayKind::Read, "READ 1");
    scene.run(100);
    REQUIRE(scene.ran("READ 1").size() == 1);
    CHECK(scene.ran("READ 1")[0].target != TargetId("one"));
    CHECK(scene.ran("READ 1")[0].requiredMark == LogMark { Term(1), LogPosition(10) });
}

TEST_CASE("a session's read runs at the primary while the replicas lack the session's last commit", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "proofs");
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(50);
    // The replicas do not receive the write.
    caller.send(RelayKind::Read, "READ 1");
    scene.run(100);
    REQUIRE(scene.ran("READ 1").size() == 1);
    CHECK(scene.ran("READ 1")[0].target == TargetId("one"));
}

TEST_CASE("a read runs at the primary when the last log mark is too old", "[relay]")
{
    RelayFixture scene;
    obtainLogMark(scene);
    scene.run(2000);
    TestCaller caller(scene.relay, "prices");
    caller.send(RelayKind::Read, "READ 1");
    scene.run(100);
    REQUIRE(scene.ran("READ 1").size() == 1);
    CHECK(scene.ran("READ 1")[0].target == TargetId("one"));
}

TEST_CASE("without a valid lease writes are refused, and replicas are read only while a recent log mark is known", "[relay]")
{
    RelayFixture scene;
    obtainLogMark(scene);
    scene.isLeaseValid = false;
    TestCaller reader(scene.relay, "prices");
    TestCaller writer(scene.relay, "orders");
    reader.send(RelayKind::Read, "READ 1");
    writer.send(RelayKind::Write, "WRITE 1 a");
    scene.run(100);
    CHECK(reader.last().error == RelayError::None);
    CHECK(scene.ran("READ 1")[0].target != TargetId("one"));
    CHECK(writer.last().error == RelayError::Busy);
    scene.run(2000);
    reader.send(RelayKind::Read, "READ 2");
    scene.run(100);
    CHECK(reader.last().error == RelayError::Busy);
}

TEST_CASE("a write is not acknowledged when the lease expires before its answer", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    caller.send(RelayKind::Read, "READ 1");
    scene.run(50);
    scene.targets[TargetId("one")].delay = Milliseconds(40);
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(20);
    scene.isLeaseValid = false;
    scene.run(100);
    CHECK(scene.ran("WRITE 1 a").size() == 1);
    CHECK(caller.last().error == RelayError::InDoubt);
}

TEST_CASE("a read at the primary returns an error when the lease expires before its answer", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    caller.send(RelayKind::Read, "READ 1");
    scene.run(50);
    scene.targets[TargetId("one")].delay = Milliseconds(40);
    caller.send(RelayKind::Read, "READ 2");
    scene.run(20);
    scene.isLeaseValid = false;
    scene.run(100);
    CHECK(caller.last().error != RelayError::None);
}

TEST_CASE("abandoning a primary ends its statements and transactions at once", "[relay]")
{
    RelayFixture scene;
    TestCaller writer(scene.relay, "orders");
    TestCaller inTransaction(scene.relay, "orders");
    TestCaller reader(scene.relay, "orders");
    writer.send(RelayKind::Read, "READ 0");
    reader.send(RelayKind::Read, "READ 0");
    inTransaction.send(RelayKind::Begin);
    inTransaction.send(RelayKind::Write, "WRITE 1 a");
    scene.run(50);
    scene.targets[TargetId("one")].isSilent = true;
    writer.send(RelayKind::Write, "WRITE 2 b");
    reader.send(RelayKind::Read, "READ 1");
    scene.run(20);
    CHECK(scene.group().primaryUses() >= 2);
    scene.setPrimary("one", 1, false);
    scene.group().abandonPrimary();
    CHECK(scene.group().primaryUses() == 0);
    CHECK(writer.last().error == RelayError::InDoubt);
    CHECK(reader.last().error == RelayError::Busy);
    inTransaction.send(RelayKind::Commit, "COMMIT");
    scene.run(50);
    CHECK(inTransaction.last().error == RelayError::Aborted);
    CHECK(scene.targets.committed.empty());
}

// Guards against statements that hang: they wait for a connection to a primary that does not answer.
TEST_CASE("statements that wait for a connection to the primary are refused when it is abandoned", "[relay]")
{
    RelayFixture scene;
    scene.targets[TargetId("one")].isSilent = true;
    TestCaller writer(scene.relay, "orders");
    writer.send(RelayKind::Write, "WRITE 1 a");
    scene.run(20);
    CHECK(writer.answers.empty());
    scene.setPrimary("one", 1, false);
    scene.group().abandonPrimary();
    REQUIRE(writer.answers.size() == 1);
    CHECK(writer.last().error == RelayError::Busy);
}

TEST_CASE("after a change of primary, a session that wrote at the old primary reads at the new one", "[relay]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "proofs");
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(50);
    scene.targets[TargetId("one")].isDown = true;
    scene.targets[TargetId("two")].isPrimary = true;
    scene.targets[TargetId("two")].term = Term(2);
    scene.targets[TargetId("three")].term = Term(2);
    scene.setPrimary("two", 2);
    caller.send(RelayKind::Read, "READ 1");
    scene.run(200);
    CHECK(caller.last().error == RelayError::None);
    CHECK(scene.ran("READ 1")[0].target == TargetId("two"));
}

TEST_CASE("reads do not run at a leaving replica", "[relay]")
{
    RelayFixture scene;
    obtainLogMark(scene);
    scene.setLeaving("two");
    TestCaller caller(scene.relay, "prices");
    for (int n = 0; n < 20; ++n) {
        caller.send(RelayKind::Read, "READ 1");
        scene.run(30);
    }
    for (const auto& it : scene.ran("READ 1"))
        CHECK(it.target != TargetId("two"));
}

TEST_CASE("a daemon opens no more than its share of a target's connections", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(0.5);
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int n = 0; n < 40; ++n) {
        callers.push_back(std::make_unique<TestCaller>(scene.relay, "orders"));
        callers.back()->send(RelayKind::Read, "READ 1");
    }
    scene.run(1000);
    CHECK(scene.targets[TargetId("one")].peakConnections <= 3);
    for (const auto& it : callers)
        CHECK(it->answers.size() == 1);
}

TEST_CASE("a read is answered while the replicas are busy", "[relay]")
{
    RelayFixture scene;
    obtainLogMark(scene);
    scene.targets[TargetId("two")].isBusy = true;
    scene.targets[TargetId("three")].isBusy = true;
    TestCaller caller(scene.relay, "prices");
    caller.send(RelayKind::Read, "READ 1");
    scene.run(100);
    CHECK(caller.last().error == RelayError::None);
}

TEST_CASE("a refusal states after how many milliseconds the caller should retry", "[relay]")
{
    RelayFixture scene;
    scene.targets[TargetId("one")].isBusy = true;
    TestCaller caller(scene.relay, "orders");
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(300);
    REQUIRE(caller.last().error == RelayError::Busy);
    CHECK_THAT(caller.last().errorText, Catch::EndsWith("; come back in 50 ms"));
    scene.setPrimary("one", 1, false);
    caller.send(RelayKind::Write, "WRITE 2 a");
    scene.run(300);
    CHECK_THAT(caller.last().errorText, Catch::EndsWith("; come back in 1000 ms"));
}

TEST_CASE("a write refused by a full primary is answered with Busy and did not run", "[relay]")
{
    RelayFixture scene;
    scene.targets[TargetId("one")].isBusy = true;
    TestCaller caller(scene.relay, "orders");
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(100);
    CHECK(caller.last().error == RelayError::Busy);
    CHECK(scene.ran("WRITE 1 a").empty());
}

// Guards against refused reads when a target accepts fewer connections than there are daemons: daemons that were connected
// only to a replica never obtained a log mark, and refused 38,000 reads that other daemons forwarded to them.
TEST_CASE("in a large fleet the same number of daemons connects to each target of a group", "[relay]")
{
    std::map<std::string, int> holders;
    for (int self = 0; self < 40; ++self) {
        RelayFixture scene("daemon-" + std::to_string(self));
        addDaemons(scene, 40);
        for (const std::string target : { "one", "two", "three" }) {
            // Only `target` accepts statements, so the read runs there if this daemon may connect to it.
            for (const std::string name : { "one", "two", "three" })
                scene.targets[TargetId(name)].isBusy = name != target;
            TestCaller caller(scene.relay, "prices");
            caller.send(RelayKind::Read, "READ");
            scene.run(300);
            holders[target] += scene.targets[TargetId(target)].peakConnections > 0 ? 1 : 0;
        }
    }
    CHECK(holders["one"] == static_cast<int>(Membership::rankingLength));
    CHECK(holders["two"] == holders["one"]);
    CHECK(holders["three"] == holders["one"]);
}

TEST_CASE("a daemon that does not connect to a group's targets forwards a statement to a daemon in its own failure domain", "[relay]")
{
    RelayFixture scene;
    addDaemons(scene, 40);
    REQUIRE_FALSE(scene.membership.rankFor(GroupId("group")));
    TestCaller caller(scene.relay, "prices");
    caller.send(RelayKind::Read, "READ 1");
    scene.run(300);
    REQUIRE(scene.ran("READ 1").size() == 1);
    const std::string destination = scene.ran("READ 1")[0].target.value();
    const InstanceEntry* home = scene.membership.find(InstanceId(destination.substr(std::string("daemon ").size())));
    REQUIRE(home);
    CHECK(home->failureDomain == FailureDomainId("domain-one"));
}

// Guards against refused statements when daemons disagree on the homes of a group, the few daemons that connect to its targets:
// one daemon finds some homes silent that others can reach, and forwards a statement to a daemon that does not count itself
// among the homes.
TEST_CASE("a forwarded statement is run by the daemon that receives it, even if it does not count itself among the group's homes", "[relay]")
{
    RelayFixture scene;
    addDaemons(scene, 40);
    REQUIRE_FALSE(scene.membership.rankFor(GroupId("group")));
    TestCaller peer(scene.relay, "prices", "shop", CallerKind::Peer);
    peer.send(RelayKind::Read, "READ 1");
    scene.run(300);
    CHECK(peer.last().error == RelayError::None);
    REQUIRE(scene.ran("READ 1").size() == 1);
    CHECK(scene.ran("READ 1")[0].target == TargetId("one"));
}

// After a loss of power daemons receive sessions before they have read the configuration. They denied databases that exist.
TEST_CASE("what waits for the routes goes on when they are known, or is given up after a second", "[relay]")
{
    RelayFixture scene;
    Relay relay(scene.loop, scene.targets, scene, scene, scene.log, scene.metrics, scene.membership);
    int known = 0;
    int unknown = 0;
    const auto count = [&](bool areKnown) { ++(areKnown ? known : unknown); };
    relay.awaitRoutes(count);
    scene.run(990);
    CHECK(unknown == 0);
    scene.run(20);
    CHECK(unknown == 1);
    relay.awaitRoutes(count);
    relay.awaitRoutes(count);
    scene.run(100);
    auto routes = std::make_shared<RouteTable>(*scene.relay.routes());
    relay.setRoutes(std::move(routes));
    CHECK(known == 2);
    relay.awaitRoutes(count);
    CHECK(known == 3);
    scene.run(2000);
    CHECK(unknown == 1);
}

// Pattern: queue where priorities are known. Eight homes with nine connections each sent 72 statements at a time to targets that run
// five and queue 40; a third of the statements of a burst was refused by the targets and tried again elsewhere.
TEST_CASE("a home sends few statements at a time to a target and keeps the others in its queue", "[relay]")
{
    RelayFixture scene;
    becomeHome(scene);
    scene.targets[TargetId("one")].delay = Milliseconds(20);
    const auto callers = forwardedCallers(scene, 12);
    for (const auto& it : callers)
        it->send(RelayKind::Write, "WRITE 1 a");
    scene.run(30);
    CHECK(scene.targets[TargetId("one")].peakRunning == 1);
    scene.run(160);
    for (const auto& it : callers) {
        REQUIRE(it->answers.size() == 1);
        CHECK(it->last().error == RelayError::None);
    }
    CHECK(scene.targets[TargetId("one")].peakRunning <= 3);
}

TEST_CASE("transactions that pause do not keep a home from sending other statements", "[relay]")
{
    RelayFixture scene;
    becomeHome(scene);
    const auto open = forwardedCallers(scene, 6);
    for (const auto& it : open) {
        it->send(RelayKind::Begin, "BEGIN");
        it->send(RelayKind::Write, "WRITE 1 a");
    }
    scene.run(100);
    TestCaller caller(scene.relay, "orders", "shop", CallerKind::Peer);
    caller.send(RelayKind::Write, "WRITE 2 b");
    scene.run(50);
    REQUIRE(caller.answers.size() == 1);
    CHECK(caller.last().error == RelayError::None);
    for (const auto& it : open)
        it->send(RelayKind::Commit, "COMMIT");
    scene.run(50);
    for (const auto& it : open)
        CHECK(it->last().error == RelayError::None);
}

TEST_CASE("a statement waits while transactions hold all connections, and runs when one of them ends", "[relay]")
{
    RelayFixture scene;
    becomeHome(scene);
    const auto open = forwardedCallers(scene, 8);
    for (const auto& it : open) {
        it->send(RelayKind::Begin, "BEGIN");
        it->send(RelayKind::Write, "WRITE 1 a");
    }
    scene.run(200);
    TestCaller caller(scene.relay, "orders", "shop", CallerKind::Peer);
    caller.send(RelayKind::Write, "WRITE 2 b");
    scene.run(50);
    CHECK(caller.answers.empty());
    open[3]->send(RelayKind::Commit, "COMMIT");
    scene.run(50);
    REQUIRE(caller.answers.size() == 1);
    CHECK(caller.last().error == RelayError::None);
    CHECK(scene.targets[TargetId("one")].peakConnections == 8);
}
