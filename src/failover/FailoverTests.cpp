#include "failover/FailoverScene.h"
#include "leases/Epoch.h"

#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

namespace {

/// Lets every daemon use the primary, as callers do all the time.
void useEverywhere(FailoverScene& scene)
{
    for (size_t it = 0; it < scene.daemons.size(); ++it)
        scene.write(it);
}

void runWithTraffic(FailoverScene& scene, double milliseconds)
{
    const Instant end = scene.loop.now() + Milliseconds(milliseconds);
    while (scene.loop.now() < end) {
        useEverywhere(scene);
        scene.run(20);
    }
}

bool fencesRise(const std::vector<OrderedPromotion>& ordered)
{
    for (size_t n = 1; n < ordered.size(); ++n) {
        const bool isSameHolder = ordered[n].holder == ordered[n - 1].holder;
        if (ordered[n].fence < ordered[n - 1].fence || (ordered[n].fence == ordered[n - 1].fence && !isSameHolder))
            return false;
    }
    return true;
}

}

TEST_CASE("daemons agree on the first primary and write to it", "[failover]")
{
    FailoverScene scene(3);
    CHECK(scene.openOn("one") == 3);
    for (size_t it = 0; it < 3; ++it)
        CHECK(scene.write(it) == RelayError::None);
}

TEST_CASE("a primary that crashed is replaced within two seconds", "[failover]")
{
    FailoverScene scene(5);
    useEverywhere(scene);
    scene.targets[TargetId("one")].isDown = true;
    runWithTraffic(scene, 2000);
    CHECK(scene.openOn("one") == 0);
    CHECK(scene.openOn("two") + scene.openOn("three") == 5);
    CHECK(scene.write(0) == RelayError::None);
    CHECK(fencesRise(scene.promotions.ordered));
}

TEST_CASE("a primary that goes dark is replaced within three seconds", "[failover]")
{
    FailoverScene scene(5);
    useEverywhere(scene);
    scene.targets[TargetId("one")].isSilent = true;
    runWithTraffic(scene, 3000);
    CHECK(scene.openOn("two") + scene.openOn("three") == 5);
    CHECK(scene.write(2) == RelayError::None);
}

// Pattern: a primary crashes before a large fleet. Each suspicion wakes the watch of every daemon: 91 of them cost 8,000 calls.
TEST_CASE("in a large fleet a few daemons decide that a primary is lost", "[failover]")
{
    FailoverScene scene(40);
    // Everybody has read everybody's lease.
    runWithTraffic(scene, 8000);
    const size_t before = scene.suspicionsWritten();
    scene.targets[TargetId("one")].isDown = true;
    runWithTraffic(scene, 2500);
    CHECK(scene.openOn("two") + scene.openOn("three") == 40);
    CHECK(scene.suspicionsWritten() - before <= 9);
    CHECK(scene.staleWrites == 0);
}

// Pattern: in a large fleet only the homes of a group use its primary, and they need not be its jurors. Found by reading.
TEST_CASE("jurors are called by a daemon that is none", "[failover]")
{
    FailoverScene scene(40);
    runWithTraffic(scene, 8000);
    const auto voters = scene.daemons[0]->board.votersFor(GroupId("group"));
    REQUIRE(voters.size() == 9);
    size_t user = 0;
    while (voters.count(scene.daemons[user]->lease.instance()) > 0)
        ++user;
    scene.run(1000);
    scene.targets[TargetId("one")].isDown = true;
    for (int n = 0; n < 100; ++n) {
        scene.write(user);
        scene.run(20);
    }
    CHECK(scene.write(user) == RelayError::None);
}

TEST_CASE("a primary that leaves as planned hands over to a replica with its whole log", "[failover]")
{
    FailoverScene scene(5);
    useEverywhere(scene);
    scene.setLeaving("one");
    scene.run(2500);
    CHECK(scene.openOn("two") + scene.openOn("three") == 5);
    CHECK(scene.targets[TargetId("two")].received == scene.targets[TargetId("one")].received);
    CHECK(scene.write(0) == RelayError::None);
    CHECK_FALSE(scene.targets[TargetId("one")].isPrimary);
}

// Pattern: a change begins while one daemon cannot reach the platform; its lease has to run out first.
TEST_CASE("a daemon that is cut from the platform never writes to a replaced primary", "[failover]")
{
    FailoverScene scene(5);
    useEverywhere(scene);
    scene.daemons[4]->rows.isCut = true;
    scene.run(100);
    scene.setLeaving("one");
    scene.run(600);
    CHECK(scene.promotions.ordered.empty());
    // Its lease, of 6 s, has to end first.
    runWithTraffic(scene, 7000);
    CHECK(scene.promotions.ordered.size() == 1);
    CHECK(scene.write(4) == RelayError::Busy);
    CHECK(scene.staleWrites == 0);
    scene.daemons[4]->rows.isCut = false;
    scene.run(2000);
    CHECK(scene.write(4) == RelayError::None);
}

TEST_CASE("a primary that is gone from the platform's list is replaced", "[failover]")
{
    FailoverScene scene(3);
    useEverywhere(scene);
    scene.targets[TargetId("one")].isDown = true;
    scene.setListed("one", false);
    scene.run(3000);
    CHECK(scene.openOn("two") + scene.openOn("three") == 3);
    scene.setListed("one", true);
    scene.targets[TargetId("one")].isDown = false;
    CHECK(scene.write(0) == RelayError::None);
}

// Pattern: a daemon starts and hears of the primaries before it has read the list of targets.
TEST_CASE("a daemon that has not read the list yet misses no primary", "[failover]")
{
    FailoverScene scene(3);
    useEverywhere(scene);
    scene.restart(0, 100, 1500);
    scene.run(3000);
    CHECK(scene.promotions.ordered.empty());
    CHECK(scene.openOn("one") == 3);
}

TEST_CASE("one daemon that cannot reach the primary does not have it replaced", "[failover]")
{
    FailoverScene scene(5);
    useEverywhere(scene);
    scene.daemons[0]->failover.primaryFailed(GroupId("group"));
    runWithTraffic(scene, 1000);
    CHECK(scene.promotions.ordered.empty());
    CHECK(scene.openOn("one") == 5);
}

// Pattern: targets that still count the connections of lost daemons refuse new ones.
TEST_CASE("a full primary is not replaced", "[failover]")
{
    FailoverScene scene(5);
    useEverywhere(scene);
    scene.targets[TargetId("one")].isBusy = true;
    runWithTraffic(scene, 2000);
    CHECK(scene.promotions.ordered.empty());
    scene.targets[TargetId("one")].isBusy = false;
    CHECK(scene.write(0) == RelayError::None);
}

TEST_CASE("a primary that is back before it was replaced is opened again in its own term", "[failover]")
{
    FailoverScene scene(5);
    useEverywhere(scene);
    scene.daemons[4]->rows.isCut = true;
    scene.targets[TargetId("one")].isDown = true;
    runWithTraffic(scene, 800);
    CHECK(scene.openOn("one") <= 1);
    scene.targets[TargetId("one")].isDown = false;
    scene.run(600);
    CHECK(scene.promotions.ordered.empty());
    CHECK(scene.openOn("one") == 5);
    CHECK(scene.write(0) == RelayError::None);
}

TEST_CASE("a change whose daemon died is carried out by another, with a greater fence", "[failover]")
{
    FailoverScene scene(5);
    useEverywhere(scene);
    scene.setLeaving("one");
    // The owner is found in the record, and dies before it is done.
    scene.loop.runUntil([&scene] {
        const std::string* row = scene.tables.find(controlTable, "group/group");
        return row && decodeGroupRecord(*row)->phase != GroupPhase::Open; }, Milliseconds(2000));
    const auto record = decodeGroupRecord(*scene.tables.find(controlTable, "group/group"));
    REQUIRE(record.ok());
    const size_t owner = static_cast<size_t>(record->owner.value().back() - '0');
    scene.restart(owner, 300);
    scene.run(9000);
    CHECK(scene.openOn("two") + scene.openOn("three") == 5);
    CHECK(fencesRise(scene.promotions.ordered));
    CHECK(scene.write(0) == RelayError::None);
}

TEST_CASE("a promotion whose answer is lost is found out from the target", "[failover]")
{
    FailoverScene scene(3);
    useEverywhere(scene);
    scene.promotions.losesAnswers = true;
    scene.targets[TargetId("one")].isDown = true;
    runWithTraffic(scene, 3000);
    CHECK(scene.openOn("two") + scene.openOn("three") == 3);
    CHECK(scene.write(1) == RelayError::None);
}

// Pattern: a primary that leaves hands its log and its lead to a new target, in its own term. Seen in deploy/days/platform-forgets.toml on
// chausse-cloud: the platform does nothing for who leads already, so the successor never led a later term, and the group stayed closed.
TEST_CASE("a target that took over the lead in the same term is the primary", "[failover]")
{
    FailoverScene scene(3);
    useEverywhere(scene);
    scene.targets[TargetId("one")].isDown = true;
    scene.targets[TargetId("three")].isDown = true;
    scene.setListed("one", false);
    scene.targets[TargetId("two")].isPrimary = true;
    scene.promotions.hasNoEffect = true;
    runWithTraffic(scene, 3000);
    CHECK(scene.openOn("two") == 3);
    CHECK(scene.write(0) == RelayError::None);
}

// Pattern: replicas that cannot lead yet; the last one was given up once, and nobody was asked ever after.
TEST_CASE("candidates that all failed are tried again", "[failover]")
{
    FailoverScene scene(3);
    useEverywhere(scene);
    scene.promotions.hasNoEffect = true;
    scene.targets[TargetId("one")].isDown = true;
    runWithTraffic(scene, 9000);
    CHECK(scene.write(0) == RelayError::Busy);
    scene.promotions.hasNoEffect = false;
    runWithTraffic(scene, 4000);
    CHECK(scene.write(0) == RelayError::None);
    CHECK(scene.staleWrites == 0);
    CHECK(fencesRise(scene.promotions.ordered));
}

// Pattern: half of the daemons are cut off while the primary crashes. Seen as incident inc-8376 of vizitka-sofia, where the others
// counted the cut ones as voters for up to 5 s after their leases had ended.
TEST_CASE("half of the daemons replace a primary as soon as the leases of the cut half have ended", "[failover]")
{
    // The moment of the crash against the reading of leases decides, so several are tried.
    for (const double wait : { 100, 1000, 2000, 3000, 4000 }) {
        CAPTURE(wait);
        FailoverScene scene(6);
        scene.run(wait);
        useEverywhere(scene);
        for (size_t it = 3; it < 6; ++it)
            scene.daemons[it]->rows.isCut = true;
        scene.targets[TargetId("one")].isDown = true;
        runWithTraffic(scene, 7500);
        CHECK(scene.write(0) == RelayError::None);
        CHECK(scene.staleWrites == 0);
    }
}

// Pattern: the platform is silent for some seconds. Seen as incident inc-8376 of vizitka-sofia, where leases of 3 s ended every
// write for the rest of the outage.
TEST_CASE("writes go on through a short outage of the platform", "[failover]")
{
    FailoverScene scene(3);
    useEverywhere(scene);
    for (auto& it : scene.daemons)
        it->rows.isCut = true;
    for (int second = 1; second <= 4; ++second) {
        scene.run(1000);
        CHECK(scene.write(0) == RelayError::None);
    }
    for (auto& it : scene.daemons)
        it->rows.isCut = false;
    runWithTraffic(scene, 5000);
    CHECK(scene.write(0) == RelayError::None);
    CHECK(scene.staleWrites == 0);
}

// Pattern: the platform is silent for long, and the primary crashes meanwhile.
TEST_CASE("an outage of the platform ends the leases, and its return brings them back", "[failover]")
{
    FailoverScene scene(3);
    useEverywhere(scene);
    for (auto& it : scene.daemons)
        it->rows.isCut = true;
    scene.run(4500);
    CHECK(scene.write(0) == RelayError::None);
    scene.run(2500);
    CHECK(scene.write(0) == RelayError::Busy);
    scene.targets[TargetId("one")].isDown = true;
    scene.run(1000);
    for (auto& it : scene.daemons)
        it->rows.isCut = false;
    scene.run(1500);
    runWithTraffic(scene, 2500);
    CHECK(scene.write(0) == RelayError::None);
    CHECK(scene.staleWrites == 0);
}

TEST_CASE("a lost history does not hide a change", "[failover]")
{
    FailoverScene scene(3);
    useEverywhere(scene);
    scene.tables.forgetHistory();
    scene.targets[TargetId("one")].isDown = true;
    runWithTraffic(scene, 2500);
    scene.tables.forgetHistory();
    scene.run(200);
    CHECK(scene.openOn("two") + scene.openOn("three") == 3);
}

TEST_CASE("random faults never let a write to a replaced primary through, and fences only rise", "[failover]")
{
    const auto seed = GENERATE(range(1U, 31U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    FailoverScene scene(5);
    const std::vector<std::string> names { "one", "two", "three" };
    for (int step = 0; step < 25; ++step) {
        const size_t daemon = random() % scene.daemons.size();
        auto& rows = scene.daemons[daemon]->rows;
        auto& target = scene.targets[TargetId(names[random() % names.size()])];
        switch (random() % 7) {
        case 0:
            rows.isCut = !rows.isCut;
            break;
        case 1:
            rows.losesAnswers = !rows.losesAnswers;
            break;
        case 2:
            rows.appliesLate = rows.appliesLate > Milliseconds(0) ? Milliseconds(0) : Milliseconds(static_cast<double>(200 + random() % 3000));
            break;
        case 3:
            target.isDown = !target.isDown;
            break;
        case 4:
            target.isSilent = !target.isSilent;
            break;
        case 5:
            scene.restart(daemon, static_cast<double>(50 + random() % 500));
            break;
        default:
            scene.promotions.losesAnswers = !scene.promotions.losesAnswers;
            break;
        }
        for (int n = 0; n < 3; ++n) {
            scene.write(random() % scene.daemons.size());
            scene.run(static_cast<double>(random() % 400));
        }
    }
    CHECK(scene.staleWrites == 0);
    CHECK(fencesRise(scene.promotions.ordered));
    // Once all is well again, so is the service.
    for (auto& it : scene.daemons) {
        it->rows.isCut = false;
        it->rows.losesAnswers = false;
        it->rows.appliesLate = Milliseconds(0);
    }
    scene.promotions.losesAnswers = false;
    for (const auto& it : names) {
        scene.targets[TargetId(it)].isDown = false;
        scene.targets[TargetId(it)].isSilent = false;
    }
    runWithTraffic(scene, 12'000);
    CHECK(scene.write(0) == RelayError::None);
}
