#include "relay/RelayFixture.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

/// The lines that list acknowledged writes.
std::vector<std::string> listsOf(const std::vector<std::string>& lines)
{
    std::vector<std::string> found;
    for (const auto& it : lines) {
        if (it.find("\"writes_acknowledged\"") != std::string::npos)
            found.push_back(it);
    }
    return found;
}

std::string valueOf(const std::string& line, const std::string& field)
{
    const std::string start = '"' + field + "\":\"";
    const size_t at = line.find(start);
    if (at == std::string::npos)
        return "no such field";
    const size_t from = at + start.size();
    return line.substr(from, line.find('"', from) - from);
}

/// The only such line.
std::string onlyList(const RelayFixture& scene)
{
    const auto lists = listsOf(scene.logLines);
    REQUIRE(lists.size() == 1);
    return lists.front();
}

std::string wholeMilliseconds(Instant at)
{
    return std::to_string(static_cast<int64_t>(at.sinceEpoch()));
}

/// Sends a statement and waits for its answer.
void runOne(RelayFixture& scene, TestCaller& caller, RelayKind kind, const std::string& text)
{
    caller.send(kind, text);
    scene.run(20);
    REQUIRE(caller.last().error == RelayError::None);
}

AcknowledgedWrite writeOf(const std::string& id, double answeredAt)
{
    AcknowledgedWrite write;
    write.id = StatementId(id);
    write.primary = TargetId("one");
    write.term = Term(1);
    write.sent.at = Instant(answeredAt - 5);
    write.answeredAt = Instant(answeredAt);
    return write;
}

}

TEST_CASE("a write and a commit are listed when their primary is replaced, and a read is not", "[relay][writes]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    // Opening the connection takes 2 ms.
    const Instant writeSent = scene.loop.now() + Milliseconds(2);
    runOne(scene, caller, RelayKind::Write, "WRITE 1 a");
    runOne(scene, caller, RelayKind::Read, "READ 1");
    runOne(scene, caller, RelayKind::Begin, "BEGIN");
    runOne(scene, caller, RelayKind::Write, "WRITE 2 a");
    scene.leaseSource = LeaseSource::Grant;
    const Instant commitSent = scene.loop.now();
    runOne(scene, caller, RelayKind::Commit, "COMMIT");
    runOne(scene, caller, RelayKind::Begin, "BEGIN");
    runOne(scene, caller, RelayKind::Read, "READ 1");
    runOne(scene, caller, RelayKind::Commit, "COMMIT");
    CHECK(listsOf(scene.logLines).empty());
    SECTION("by a record that closes the group")
    {
        scene.setPrimary("one", 1, false);
    }
    SECTION("by the record of the next primary")
    {
        scene.setPrimary("two", 2);
    }
    const std::string list = onlyList(scene);
    CHECK(valueOf(list, "group") == "group");
    CHECK(valueOf(list, "primary") == "one");
    CHECK(valueOf(list, "term") == "1");
    CHECK(valueOf(list, "count") == "2");
    CHECK(valueOf(list, "complete") == "yes");
    CHECK(valueOf(list, "writes") == "s5 commit " + wholeMilliseconds(commitSent) + "+2 #1 1.12 grant+2500 e1.7; s1 write " + wholeMilliseconds(writeSent) + "+2 #1 1.11 row+2500 e1.7");
}

TEST_CASE("a transaction whose later statement writes is listed", "[relay][writes]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    runOne(scene, caller, RelayKind::Begin, "BEGIN");
    runOne(scene, caller, RelayKind::Read, "READ 1");
    runOne(scene, caller, RelayKind::Write, "WRITE 1 a");
    runOne(scene, caller, RelayKind::Commit, "COMMIT");
    scene.setPrimary("one", 1, false);
    CHECK(valueOf(onlyList(scene), "writes").substr(0, 10) == "s4 commit ");
}

TEST_CASE("no line is written when no write was acknowledged", "[relay][writes]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    runOne(scene, caller, RelayKind::Read, "READ 1");
    SECTION("only a read") { }
    SECTION("a write that failed")
    {
        scene.targets[TargetId("one")].fails = true;
        caller.send(RelayKind::Write, "WRITE 1 a");
        scene.run(20);
        REQUIRE(caller.last().error == RelayError::Failed);
    }
    SECTION("a write in doubt")
    {
        scene.targets[TargetId("one")].losesNextAnswer = true;
        caller.send(RelayKind::Write, "WRITE 1 a");
        scene.run(20);
        REQUIRE(caller.last().error == RelayError::InDoubt);
    }
    SECTION("a transaction that was rolled back")
    {
        runOne(scene, caller, RelayKind::Begin, "BEGIN");
        runOne(scene, caller, RelayKind::Write, "WRITE 1 a");
        runOne(scene, caller, RelayKind::Rollback, "ROLLBACK");
    }
    scene.setPrimary("one", 1, false);
    scene.setPrimary("two", 2);
    CHECK(listsOf(scene.logLines).empty());
}

TEST_CASE("each write is listed once", "[relay][writes]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    runOne(scene, caller, RelayKind::Write, "WRITE 1 a");
    scene.setPrimary("one", 1);
    CHECK(listsOf(scene.logLines).empty());
    scene.setPrimary("one", 1, false);
    CHECK(listsOf(scene.logLines).size() == 1);
    scene.setPrimary("one", 1, true);
    scene.setPrimary("two", 2);
    CHECK(listsOf(scene.logLines).size() == 1);
}

TEST_CASE("a write that is answered after the group was closed is listed at the next change", "[relay][writes]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    runOne(scene, caller, RelayKind::Read, "READ 1");
    scene.targets[TargetId("one")].delay = Milliseconds(40);
    caller.send(RelayKind::Write, "WRITE 1 a");
    scene.run(10);
    scene.setPrimary("one", 1, false);
    CHECK(listsOf(scene.logLines).empty());
    // The change waits for the lease of a daemon that cannot be heard.
    scene.run(6600);
    REQUIRE(caller.last().error == RelayError::None);
    scene.setPrimary("two", 2);
    CHECK(valueOf(onlyList(scene), "writes").substr(0, 9) == "s2 write ");
}

TEST_CASE("only writes of the last three seconds of the use of the primary are listed", "[relay][writes]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    runOne(scene, caller, RelayKind::Write, "WRITE 1 a");
    scene.run(2000);
    runOne(scene, caller, RelayKind::Write, "WRITE 2 a");
    scene.run(1500);
    SECTION("which lasts until the change")
    {
        scene.setPrimary("two", 2);
        CHECK(valueOf(onlyList(scene), "count") == "1");
        CHECK(valueOf(onlyList(scene), "writes").substr(0, 9) == "s2 write ");
    }
    SECTION("which had ended with the lease")
    {
        scene.isLeaseValid = false;
        scene.run(10'000);
        scene.setPrimary("two", 2);
        CHECK(valueOf(onlyList(scene), "count") == "2");
    }
    SECTION("in which nothing was acknowledged")
    {
        scene.run(1600);
        scene.setPrimary("two", 2);
        CHECK(listsOf(scene.logLines).empty());
    }
}

TEST_CASE("only the last 64 writes are listed", "[relay][writes]")
{
    RelayFixture scene;
    TestCaller caller(scene.relay, "orders");
    for (int n = 1; n <= 100; ++n)
        runOne(scene, caller, RelayKind::Write, "WRITE " + std::to_string(n) + " a");
    scene.setPrimary("two", 2);
    const std::string list = onlyList(scene);
    CHECK(valueOf(list, "count") == "64");
    CHECK(valueOf(list, "complete") == "no");
    const std::string writes = valueOf(list, "writes");
    CHECK(writes.substr(0, 11) == "s100 write ");
    CHECK(writes.find("; s37 write ") != std::string::npos);
    CHECK(writes.find("; s36 write ") == std::string::npos);
    CHECK(writes.size() <= AcknowledgedWrites::maxListLength);
}

TEST_CASE("a daemon that forwards a write to a home does not list it", "[relay][writes]")
{
    RelayFixture scene;
    PlatformList list;
    for (int n = 0; n < 48; ++n) {
        const std::string name = "daemon-" + std::to_string(n);
        list.instances.push_back({ InstanceId(name), FailureDomainId("domain-one"), name, 1, 0, false });
    }
    scene.membership.setPlatformList(list);
    scene.relay.setConnectionShare(1.0 / 48);
    REQUIRE_FALSE(scene.membership.rankFor(GroupId("group")));
    for (const auto& it : scene.membership.rankedDaemonsFor(GroupId("group")))
        scene.targets[TargetId("daemon " + it.value())].isPrimary = true;
    TestCaller caller(scene.relay, "orders");
    TestCaller peer(scene.relay, "orders", "shop", CallerKind::Peer);
    runOne(scene, caller, RelayKind::Write, "WRITE 1 a");
    SECTION("the home does")
    {
        runOne(scene, peer, RelayKind::Read, "READ 1");
        runOne(scene, peer, RelayKind::Write, "WRITE 2 a");
        scene.setPrimary("two", 2);
        CHECK(valueOf(onlyList(scene), "count") == "1");
        CHECK(valueOf(onlyList(scene), "writes").substr(0, 9) == "s2 write ");
    }
    SECTION("this daemon does not")
    {
        scene.setPrimary("two", 2);
        CHECK(listsOf(scene.logLines).empty());
    }
}

TEST_CASE("the list is bounded when ids are long, and tells another primary than that of the line", "[relay][writes]")
{
    VirtualLoop loop;
    std::vector<std::string> lines;
    DecisionLog log { loop, "scene", [&](const std::string& line) { lines.push_back(line); } };
    AcknowledgedWrites writes;
    for (int n = 0; n < 64; ++n)
        writes.add(writeOf(std::string(500, 'x'), 10'000 + n));
    AcknowledgedWrite other = writeOf("other", 10'100);
    other.primary = TargetId("two");
    writes.add(other);
    CHECK(writes.lastAnswer() == Instant(10'100));
    writes.logAndClear(log, GroupId("group"), TargetId("one"), Term(1), Instant(10'100));
    CHECK_FALSE(writes.lastAnswer());
    REQUIRE(lines.size() == 1);
    const std::string list = valueOf(lines.front(), "writes");
    CHECK(list.size() <= AcknowledgedWrites::maxListLength);
    CHECK(list.find("other write 10095+5 #0 - row+-10095 e0.0 at two/1; " + std::string(64, 'x') + " write 10058+5 ") == 0);
    CHECK(list.find(std::string(65, 'x')) == std::string::npos);
    CHECK(valueOf(lines.front(), "complete") == "no");
}
