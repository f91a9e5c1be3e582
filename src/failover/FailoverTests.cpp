#include "failover/FailoverFixture.h"
#include "leases/Epoch.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

/// Adds groups of three targets each, of which none is primary yet, to the routes and the target list of the first daemon.
void addGroups(FailoverFixture& fixture, int n, bool areSilent)
{
    auto routes = std::make_shared<RouteTable>();
    routes->version = ConfigurationVersion(2);
    std::vector<TargetEntry> entries;
    for (int group = 0; group < n; ++group) {
        const GroupId id("group-" + std::to_string(group));
        routes->groups[id].connections = 40;
        for (const std::string name : { "a", "b", "c" }) {
            TargetEntry entry;
            entry.target = { TargetId(id.value() + name), { name, 1 }, FailureDomainId("domain"), id, false };
            fixture.targets[entry.target.id].isSilent = areSilent;
            entries.push_back(std::move(entry));
        }
    }
    fixture.daemons[0]->relay.setRoutes(std::move(routes));
    fixture.daemons[0]->failover.setTargets(entries);
}

}

TEST_CASE("daemons agree on the first primary and write to it", "[failover]")
{
    FailoverFixture fixture(3);
    CHECK(fixture.countDaemonsUsing("one") == 3);
    for (size_t it = 0; it < 3; ++it)
        CHECK(fixture.write(it) == RelayError::None);
}

// A fleet starts with hundreds of groups. When every holder probed every target of every group until it had received the records, one
// start of 100 daemons with 124 groups opened 1.3 million connections.
TEST_CASE("the targets of a group without a record are probed by few daemons at a time", "[failover]")
{
    FailoverFixture fixture(18, 2500);
    fixture.run(1400);
    fixture.targets.connectionAttempts = 0;
    fixture.run(1500);
    CHECK(fixture.countDaemonsUsing("one") == 18);
    // Three rounds of three targets.
    CHECK(fixture.targets.connectionAttempts <= 9);
}

// Hundreds of groups have no record, because their targets are down or not primary yet, or because this daemon does not see the
// records. Without a limit a fleet of 300 daemons opened 4,600 connections a second.
TEST_CASE("a daemon probes the targets of few groups without a record at a time", "[failover]")
{
    const bool areSilent = GENERATE(false, true);
    CAPTURE(areSilent);
    FailoverFixture fixture(1);
    addGroups(fixture, 100, areSilent);
    fixture.run(6000);
    fixture.targets.connectionAttempts = 0;
    fixture.run(1000);
    CHECK(fixture.targets.connectionAttempts <= 300);
    CHECK(fixture.targets.connectionAttempts > 0);
}

// The platform carries out 300 transactions a second, and 18 holders may take themselves for the first in rank of all groups. When each
// wrote the records of all groups at once, watches and renewals of leases found no place among the calls.
TEST_CASE("a daemon has few first records of groups on their way to the platform", "[failover]")
{
    FailoverFixture fixture(1);
    addGroups(fixture, 100, false);
    fixture.targets.connectionAttempts = 0;
    for (int group = 0; group < 100; ++group)
        fixture.targets[TargetId("group-" + std::to_string(group) + "a")].isPrimary = true;
    fixture.daemons[0]->rows.losesAnswers = true;
    const uint64_t before = fixture.daemons[0]->rows.calls;
    fixture.run(850);
    // Nothing is answered within 900 ms, so these are in flight at the same time, besides renewals and reads.
    CHECK(fixture.daemons[0]->rows.calls - before <= 8 + 6);
    fixture.daemons[0]->rows.losesAnswers = false;
    fixture.run(6000);
    for (int group = 0; group < 100; ++group) {
        const PrimaryView primary = fixture.daemons[0]->relay.findGroup(GroupId("group-" + std::to_string(group)))->primary();
        CHECK(primary.isAvailable);
    }
}

TEST_CASE("a group's first record is written although its targets become primary late and the first daemon in rank is gone", "[failover]")
{
    FailoverFixture fixture(5, 8000);
    fixture.targets[TargetId("one")].isPrimary = false;
    fixture.run(6000);
    for (size_t it = 0; it < 4; ++it)
        fixture.daemons[it]->rows.isCut = true;
    fixture.run(3000);
    CHECK(fixture.countDaemonsUsing("one") == 0);
    fixture.targets[TargetId("one")].isPrimary = true;
    fixture.run(2500);
    CHECK(fixture.countDaemonsUsing("one") == 1);
}

TEST_CASE("a primary that crashed is replaced within two seconds", "[failover]")
{
    FailoverFixture fixture(5);
    fixture.writeFromAllDaemons();
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(2000);
    CHECK(fixture.countDaemonsUsing("one") == 0);
    CHECK(fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three") == 5);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.promotions.areFencingTokensOrdered());
}

TEST_CASE("a primary that stops answering is replaced within three seconds", "[failover]")
{
    FailoverFixture fixture(5);
    fixture.writeFromAllDaemons();
    fixture.targets[TargetId("one")].isSilent = true;
    fixture.runWithTraffic(3000);
    CHECK(fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three") == 5);
    CHECK(fixture.write(2) == RelayError::None);
}

// The primary of a large fleet crashes. Each recorded suspicion is delivered to every daemon: when each of 91 daemons recorded
// one, that cost 8,000 calls to the platform.
TEST_CASE("in a large fleet at most nine daemons record that they suspect the primary", "[failover]")
{
    FailoverFixture fixture(40);
    // By then every daemon has read the leases of all others.
    fixture.runWithTraffic(8000);
    const size_t before = fixture.suspicionsWritten();
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(2500);
    CHECK(fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three") == 40);
    CHECK(fixture.suspicionsWritten() - before <= 9);
    CHECK(fixture.staleWrites == 0);
}

// In a large fleet only some of the daemons use a group's primary. If none of them is a voter, no voter would notice a crash by
// itself, and the primary would not be replaced.
TEST_CASE("voters probe the primary when a daemon that is not a voter suspects it", "[failover]")
{
    FailoverFixture fixture(40);
    fixture.runWithTraffic(8000);
    const auto voters = fixture.daemons[0]->leaseMonitor.votersFor(GroupId("group"));
    REQUIRE(voters.size() == 9);
    size_t user = 0;
    while (voters.count(fixture.daemons[user]->lease.instance()) > 0)
        ++user;
    fixture.run(1000);
    fixture.targets[TargetId("one")].isDown = true;
    for (int n = 0; n < 100; ++n) {
        fixture.write(user);
        fixture.run(20);
    }
    CHECK(fixture.write(user) == RelayError::None);
}

TEST_CASE("a primary that leaves as planned is replaced by a replica with its whole log", "[failover]")
{
    FailoverFixture fixture(5);
    fixture.writeFromAllDaemons();
    fixture.setLeaving("one");
    fixture.run(2500);
    CHECK(fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three") == 5);
    CHECK(fixture.targets[TargetId("two")].received == fixture.targets[TargetId("one")].received);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK_FALSE(fixture.targets[TargetId("one")].isPrimary);
}

// A change begins while one daemon cannot reach the platform and so does not notice it. The promotion must wait until that
// daemon's lease has expired.
TEST_CASE("a replaced primary acknowledges no write of a daemon that is cut off from the platform", "[failover]")
{
    FailoverFixture fixture(5);
    fixture.writeFromAllDaemons();
    fixture.daemons[4]->rows.isCut = true;
    fixture.run(100);
    fixture.setLeaving("one");
    fixture.run(600);
    CHECK(fixture.promotions.requests.empty());
    // The lease of the daemon that is cut off expires 6 s after its last renewal.
    fixture.runWithTraffic(7000);
    CHECK(fixture.promotions.requests.size() == 1);
    CHECK(fixture.write(4) == RelayError::Busy);
    CHECK(fixture.staleWrites == 0);
    fixture.daemons[4]->rows.isCut = false;
    fixture.run(2000);
    CHECK(fixture.write(4) == RelayError::None);
}

TEST_CASE("a primary that is missing from the platform's target list is replaced", "[failover]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    fixture.targets[TargetId("one")].isDown = true;
    fixture.setListed("one", false);
    fixture.run(3000);
    CHECK(fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three") == 3);
    fixture.setListed("one", true);
    fixture.targets[TargetId("one")].isDown = false;
    CHECK(fixture.write(0) == RelayError::None);
}

// When a fleet starts, the platform lists targets and records primaries one after the other, and each holder receives both with a
// delay of its own.
TEST_CASE("a primary is not missing from a target list that is older than its record", "[failover]")
{
    FailoverFixture fixture(5);
    fixture.writeFromAllDaemons();
    for (auto& it : fixture.daemons)
        it->targetListVersion = RowVersion(1);
    fixture.setListed("one", false);
    fixture.run(3000);
    CHECK(fixture.countDaemonsUsing("one") == 5);
    fixture.daemons[3]->targetListVersion.reset();
    fixture.run(3000);
    CHECK(fixture.countDaemonsUsing("one") == 0);
}

// A daemon that starts may receive the groups' records before the target list.
TEST_CASE("a daemon without the target list does not treat the primary as missing", "[failover]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    fixture.restart(0, 100, 1500);
    fixture.run(3000);
    CHECK(fixture.promotions.requests.empty());
    CHECK(fixture.countDaemonsUsing("one") == 3);
}

TEST_CASE("a primary that answers a probe is not replaced after one daemon reports a failure", "[failover]")
{
    FailoverFixture fixture(5);
    fixture.writeFromAllDaemons();
    fixture.daemons[0]->failover.primaryFailed(GroupId("group"));
    fixture.runWithTraffic(1000);
    CHECK(fixture.promotions.requests.empty());
    CHECK(fixture.countDaemonsUsing("one") == 5);
}

// A full target, such as one that still counts the connections of crashed daemons, refuses statements but still answers
// status requests.
TEST_CASE("a primary that refuses statements as overloaded is not replaced", "[failover]")
{
    FailoverFixture fixture(5);
    fixture.writeFromAllDaemons();
    fixture.targets[TargetId("one")].isBusy = true;
    fixture.runWithTraffic(2000);
    CHECK(fixture.promotions.requests.empty());
    fixture.targets[TargetId("one")].isBusy = false;
    CHECK(fixture.write(0) == RelayError::None);
}

TEST_CASE("a primary that recovers before it is replaced is used again in the same term", "[failover]")
{
    FailoverFixture fixture(5);
    fixture.writeFromAllDaemons();
    fixture.daemons[4]->rows.isCut = true;
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(800);
    CHECK(fixture.countDaemonsUsing("one") <= 1);
    fixture.targets[TargetId("one")].isDown = false;
    fixture.run(600);
    CHECK(fixture.promotions.requests.empty());
    CHECK(fixture.countDaemonsUsing("one") == 5);
    CHECK(fixture.write(0) == RelayError::None);
}

TEST_CASE("a change whose owner crashes is completed by another process, and fencing tokens do not decrease", "[failover]")
{
    FailoverFixture fixture(5);
    fixture.writeFromAllDaemons();
    fixture.setLeaving("one");
    // Waits until the record names the owner of the change, which then crashes before the change is complete.
    fixture.loop.runUntil([&fixture] {
        const std::string* row = fixture.tables.find(controlTable, "group/group");
        return row && decodeGroupRecord(*row)->phase != GroupPhase::Open; }, Milliseconds(2000));
    const auto record = decodeGroupRecord(*fixture.tables.find(controlTable, "group/group"));
    REQUIRE(record.ok());
    const size_t owner = static_cast<size_t>(record->owner.value().back() - '0');
    fixture.restart(owner, 300);
    fixture.run(9000);
    CHECK(fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three") == 5);
    CHECK(fixture.promotions.areFencingTokensOrdered());
    CHECK(fixture.write(0) == RelayError::None);
}

TEST_CASE("a promotion whose answer is lost is detected by a probe of the target", "[failover]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    fixture.promotions.losesAnswers = true;
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(3000);
    CHECK(fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three") == 3);
    CHECK(fixture.write(1) == RelayError::None);
}

// The platform may replace a primary by a target that has its log, without a new term. It then ignores requests to promote that
// target, because it is primary already. A daemon that accepted only a later term would never record it as the primary. Here
// "one" has crashed and is no longer listed, and "two" is primary in the same term. Seen on the day
// deploy/days/platform-forgets.toml.
TEST_CASE("a target that became primary in the same term is recorded as the primary", "[failover]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    fixture.targets[TargetId("one")].isDown = true;
    fixture.targets[TargetId("three")].isDown = true;
    fixture.setListed("one", false);
    fixture.targets[TargetId("two")].isPrimary = true;
    fixture.promotions.hasNoEffect = true;
    fixture.runWithTraffic(3000);
    CHECK(fixture.countDaemonsUsing("two") == 3);
    CHECK(fixture.write(0) == RelayError::None);
}

// Replicas cannot be promoted for a while. If rejected candidates were never tried again, the group would have no primary once
// the last one was rejected.
TEST_CASE("rejected candidates are tried again when no other is left", "[failover]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    fixture.promotions.hasNoEffect = true;
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(9000);
    CHECK(fixture.write(0) == RelayError::Busy);
    fixture.promotions.hasNoEffect = false;
    fixture.runWithTraffic(4000);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.staleWrites == 0);
    CHECK(fixture.promotions.areFencingTokensOrdered());
}

// Half of the daemons are cut off from the platform while the primary crashes. If the others reread the leases only every 5 s,
// they would count the daemons that are cut off as voters for too long: the change might begin only after the leases of those
// daemons had expired (incident inc-8376).
TEST_CASE("half of the daemons replace a primary soon after the leases of the other half have expired", "[failover]")
{
    // The delay depends on the time between the last periodic read of the leases and the crash, so several values are tried.
    for (const double wait : { 100, 1000, 2000, 3000, 4000 }) {
        CAPTURE(wait);
        FailoverFixture fixture(6);
        fixture.run(wait);
        fixture.writeFromAllDaemons();
        for (size_t it = 3; it < 6; ++it)
            fixture.daemons[it]->rows.isCut = true;
        fixture.targets[TargetId("one")].isDown = true;
        fixture.runWithTraffic(7500);
        CHECK(fixture.write(0) == RelayError::None);
        CHECK(fixture.staleWrites == 0);
    }
}

// Guards against lost commits: a primary that was replaced came back with commits that had been rolled back, its successor crashed before it had
// followed it, and it was promoted again as the most complete replica. What the successor had acknowledged was gone.
TEST_CASE("a primary that was replaced is not promoted again with a branch of the log that was rolled back", "[failover]")
{
    const bool isOtherReplicaUp = GENERATE(true, false);
    CAPTURE(isOtherReplicaUp);
    FailoverFixture fixture(3);
    fixture.runWithTraffic(500);
    fixture.deafTargets = { TargetId("two"), TargetId("three") };
    fixture.runWithTraffic(500);
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(3000);
    const TargetId successor = fixture.countDaemonsUsing("two") == 3 ? TargetId("two") : TargetId("three");
    const TargetId other = successor == TargetId("two") ? TargetId("three") : TargetId("two");
    REQUIRE(fixture.countDaemonsUsing(successor.value()) == 3);
    fixture.deafTargets.insert(TargetId("one"));
    fixture.targets[other].isDown = !isOtherReplicaUp;
    fixture.targets[successor].isDown = true;
    auto& old = fixture.targets[TargetId("one")];
    old.isDown = false;
    old.isPrimary = false;
    fixture.runWithTraffic(6000);
    CHECK(fixture.promotions.requests.back().target != TargetId("one"));
    CHECK(fixture.countDaemonsUsing("one") == 0);
    // The other replica only lacks the end of the log. Without it, the group waits for its primary.
    CHECK(fixture.countDaemonsUsing(other.value()) == (isOtherReplicaUp ? 3 : 0));
    fixture.targets[successor].isDown = false;
    fixture.runWithTraffic(3000);
    CHECK(fixture.countDaemonsUsing(isOtherReplicaUp ? other.value() : successor.value()) == 3);
    CHECK(fixture.write(0) == RelayError::None);
}
