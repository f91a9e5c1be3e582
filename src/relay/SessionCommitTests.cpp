#include "relay/RelayFixture.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

const std::string databaseOfSession = "proofs";

/// Lists so many daemons that only the homes of the group connect to its targets.
void listLargeFleet(RelayFixture& scene)
{
    PlatformList list;
    for (int n = 0; n < 48; ++n) {
        const std::string name = "daemon-" + std::to_string(n);
        list.instances.push_back({ InstanceId(name), FailureDomainId("domain-one"), name, 1, 0, false });
    }
    scene.membership.setPlatformList(list);
    scene.relay.setConnectionShare(1.0 / 48);
}

/// A daemon that is no home of the group, so that homes run its statements.
struct ForwardingDaemon {
    RelayFixture scene;

    ForwardingDaemon()
    {
        listLargeFleet(scene);
        REQUIRE_FALSE(scene.membership.rankFor(GroupId("group")));
    }

    /// All homes answer as a primary of this term, whose log ends at this position.
    void setHomes(uint64_t term, uint64_t position)
    {
        for (const auto& it : scene.membership.rankedDaemonsFor(GroupId("group"))) {
            auto& home = scene.targets[TargetId("daemon " + it.value())];
            home.isPrimary = true;
            home.term = Term(term);
            home.applied = LogPosition(position);
        }
    }

    std::optional<LogMark> requiredOf(const std::string& text) const
    {
        const auto found = scene.ran(text);
        return found.empty() ? std::nullopt : found.back().requiredMark;
    }
};

/// Reads at the primary for another daemon, so that this one knows a recent position of the log.
void sampleLog(RelayFixture& scene)
{
    TestCaller caller(scene.relay, "orders", "shop", CallerKind::Peer);
    caller.send(RelayKind::Read, "READ sample");
    scene.run(50);
}

}

// Guards against stale reads: a daemon that had not heard of a change of primary noted a commit of the new term as one of the old term, and
// no longer required it once it heard of the change.
TEST_CASE("a commit acknowledged by a new primary is required after the forwarding daemon hears of the change", "[relay][sessions]")
{
    ForwardingDaemon daemon;
    const bool inTransaction = GENERATE(false, true);
    CAPTURE(inTransaction);
    daemon.setHomes(2, 20);
    TestCaller caller(daemon.scene.relay, databaseOfSession);
    if (inTransaction)
        caller.send(RelayKind::Begin, "BEGIN");
    caller.send(RelayKind::Write, "WRITE 1 a");
    daemon.scene.run(50);
    if (inTransaction)
        caller.send(RelayKind::Commit, "COMMIT");
    daemon.scene.run(50);
    REQUIRE(caller.last().error == RelayError::None);
    const LogMark committed { Term(2), LogPosition(21) };
    SECTION("before it hears of the change")
    {
        caller.send(RelayKind::Read, "READ 1");
        daemon.scene.run(50);
    }
    SECTION("after it has heard of the change")
    {
        daemon.scene.setPrimary("two", 2);
        caller.send(RelayKind::Read, "READ 1");
        daemon.scene.run(50);
    }
    CHECK(daemon.requiredOf("READ 1") == committed);
    CHECK(std::none_of(daemon.scene.logLines.begin(), daemon.scene.logLines.end(), [](const std::string& it) { return it.find("session_commit_not_required") != std::string::npos; }));
}

// Guards against stale reads: the home took the position for one of its own term, and dropped it with the samples of that term.
TEST_CASE("a home requires a position of a later term than its own that another daemon sends with a read", "[relay][sessions]")
{
    RelayFixture scene;
    listLargeFleet(scene);
    sampleLog(scene);
    scene.targets[TargetId("one")].isPrimary = false;
    auto& caught = scene.targets[TargetId("two")];
    caught.term = Term(2);
    caught.applied = LogPosition(21);
    TestCaller peer(scene.relay, databaseOfSession, "shop", CallerKind::Peer);
    RelayStep step;
    step.kind = RelayKind::Read;
    step.id = StatementId("s");
    step.text = "READ 1";
    step.requiredMark = LogMark { Term(2), LogPosition(21) };
    scene.isLeaseValid = false;
    peer.session().runOrQueue(step);
    scene.run(200);
    REQUIRE(scene.ran("READ 1").size() == 1);
    CHECK(scene.ran("READ 1")[0].target == TargetId("two"));
    CHECK(scene.ran("READ 1")[0].requiredMark == step.requiredMark);
}

// Guards against stale reads: an answer of the old primary that arrives after the change leaves a sample of the old term, which does not
// cover a later commit of that term.
TEST_CASE("a sample of the old primary does not replace a commit of its term", "[relay][sessions]")
{
    PrimaryLogHistory history;
    const LogMark commit { Term(1), LogPosition(30) };
    history.addSample(Instant(1000), { Term(1), LogPosition(20) });
    CHECK(history.requiredMark(Instant(1100), Milliseconds(1500), commit) == commit);
    history.clear();
    SECTION("a position of a later term covers what survived of it")
    {
        history.addSample(Instant(1200), { Term(2), LogPosition(25) });
        CHECK(history.requiredMark(Instant(1300), Milliseconds(1500), commit) == LogMark { Term(2), LogPosition(25) });
    }
    SECTION("a new primary that has not written yet may answer with a position of the term before")
    {
        history.addSample(Instant(1200), { Term(1), LogPosition(25) });
        CHECK(history.requiredMark(Instant(1300), Milliseconds(1500), commit) == commit);
    }
}

// Guards against reads that no replica can serve: a position is meaningless in the log of another group.
TEST_CASE("a session's commits in one group are not required in another one", "[relay][sessions]")
{
    SessionCommits commits;
    const GroupId first("first");
    const GroupId second("second");
    CHECK_FALSE(commits.lastIn(first));
    commits.add(first, { Term(3), LogPosition(40) });
    CHECK_FALSE(commits.lastIn(second));
    commits.add(second, { Term(1), LogPosition(5) });
    CHECK(commits.lastIn(first) == LogMark { Term(3), LogPosition(40) });
    CHECK(commits.lastIn(second) == LogMark { Term(1), LogPosition(5) });
    commits.add(first, { Term(3), LogPosition(39) });
    CHECK(commits.lastIn(first) == LogMark { Term(3), LogPosition(40) });
}
