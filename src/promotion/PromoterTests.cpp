#include "promotion/PromotionScene.h"

#include "base/ResultCode.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <random>

using namespace parsleypaddle;

namespace {

/// Sizes of today: delays between failure domains, slots and connection time.
FakeTargetSettings teranga()
{
    FakeTargetSettings settings;
    settings.farDelay = Milliseconds(1.5);
    return settings;
}

FakeTargetSettings vizitka()
{
    FakeTargetSettings settings;
    settings.slots = 3;
    settings.connections = 40;
    settings.farDelay = Milliseconds(0.5);
    return settings;
}

constexpr Milliseconds greatestGap { 2000 };
constexpr uint64_t scheduleSeeds = 60;
constexpr int faultsPerSchedule = 14;

void printGap(const char* workload, const char* fault, const PromotionReport& report, Instant failedAt, Milliseconds gap)
{
    std::printf("%s, %s: detection %.1f ms, fence %.1f ms, promote %.1f ms, gap of acknowledged writes %.1f ms\n", workload, fault,
        (report.detectedAt - failedAt).count(), (report.fencedAt - report.detectedAt).count(),
        (report.promotedAt - report.fencedAt).count(), gap.count());
}

/// Gives a target a short, long or very long way to its primary's log.
void changeReplication(PromotionScene& scene, const TargetId& target, std::mt19937_64& random)
{
    const std::array<double, 3> delays { 1, 40, 600 };
    scene.model().setReplication(target, Milliseconds(delays.at(random() % delays.size())), Milliseconds(static_cast<double>(random() % 50)));
}

/// Mostly the primary, since its faults matter most.
TargetId chooseTarget(PromotionScene& scene, std::mt19937_64& random)
{
    const TargetId primary = scene.daemon(random() % scene.daemonCount()).control().view().primary;
    const TargetId any = scene.target(random() % scene.targetCount());
    return random() % 2 == 0 || primary.isEmpty() ? any : primary;
}

/// One random fault at one target, or its end.
void injectFault(PromotionScene& scene, std::mt19937_64& random)
{
    const TargetId target = chooseTarget(scene, random);
    const FailureDomainId domain = scene.domain(random() % scene.targetCount());
    const bool begins = random() % 3 != 0;
    switch (random() % 8) {
    case 0:
        scene.targets().setDown(target, begins);
        break;
    case 1:
        scene.targets().setFrozen(target, begins);
        break;
    case 2:
        scene.targets().setCut(domain, target, begins);
        break;
    case 3:
        scene.setCutOff(target, begins);
        break;
    case 4:
        scene.targets().silenceConnections(target);
        break;
    case 5:
        scene.targets().loseNextAnswer(target, random() % 2 == 0 ? TargetOperation::Fence : TargetOperation::Promote);
        break;
    case 6:
        changeReplication(scene, target, random);
        break;
    default:
        scene.daemon(random() % scene.daemonCount()).promoter().replacePrimary();
        break;
    }
}

}

TEST_CASE("a failed primary is replaced within the greatest gap and no acknowledged write is lost", "[promotion]")
{
    const bool isTeranga = GENERATE(true, false);
    const char* workload = isTeranga ? "teranga" : "vizitka";
    const FakeTargetSettings settings = isTeranga ? teranga() : vizitka();
    const std::string fault = GENERATE("down", "frozen", "cut off");
    CAPTURE(workload, fault);
    PromotionScene scene(3, 3, settings);
    scene.startWriting();
    const Instant failedAt = scene.loop().now();
    if (fault == "down")
        scene.targets().setDown(scene.target(0), true);
    else if (fault == "frozen")
        scene.targets().setFrozen(scene.target(0), true);
    else
        scene.setCutOff(scene.target(0), true);
    scene.loop().advance(Milliseconds(5000));

    REQUIRE(scene.daemon(0).reports().size() == 1);
    CHECK(scene.promotions() == 1);
    const Milliseconds gap = scene.daemon(1).longestGap(failedAt);
    printGap(workload, fault.c_str(), scene.daemon(0).reports().front(), failedAt, gap);
    CHECK(gap <= greatestGap);

    // The old primary comes back: it follows, and what only it held was not acknowledged.
    CHECK(scene.lostWrites().empty());
    CHECK(scene.model().statusOf(scene.target(0)).role == TargetRole::Replica);
    CHECK(scene.promotions() == 1);
    CHECK(scene.termsWithTwoPrimaries().empty());
}

TEST_CASE("a primary that is only slow is not replaced", "[promotion]")
{
    PromotionScene scene(3, 3, teranga());
    scene.startWriting();
    const Milliseconds pause(GENERATE(100.0, 250.0, 400.0));
    for (int i = 0; i < 20; ++i) {
        scene.targets().setFrozen(scene.target(0), true);
        scene.loop().advance(pause);
        scene.targets().setFrozen(scene.target(0), false);
        scene.loop().advance(Milliseconds(150));
    }
    CHECK(scene.promotions() == 0);
    CHECK(scene.model().statusOf(scene.target(0)).term == Term(1));
}

TEST_CASE("silent connections alone never replace a primary", "[promotion]")
{
    PromotionScene scene(3, 3, teranga());
    scene.startWriting();
    for (int i = 0; i < 30; ++i) {
        scene.targets().silenceConnections(scene.target(static_cast<size_t>(i) % 2 == 0 ? 0 : 1));
        scene.loop().advance(Milliseconds(311));
    }
    CHECK(scene.promotions() == 0);
}

TEST_CASE("a primary that only one failure domain cannot reach is not replaced", "[promotion]")
{
    PromotionScene scene(3, 3, teranga());
    scene.startWriting();
    scene.targets().setCut(scene.domain(1), scene.target(0), true);
    scene.daemon(1).promoter().setRank(0);
    scene.loop().advance(Milliseconds(6000));
    CHECK(scene.promotions() == 0);
    CHECK(scene.daemon(2).longestGap(scene.loop().now() - Milliseconds(6000)) < Milliseconds(100));
}

TEST_CASE("promoters that move at the same moment make one primary a term and lose nothing", "[promotion]")
{
    const auto seed = GENERATE(range<uint64_t>(1, 21));
    CAPTURE(seed);
    PromotionScene scene(5, 5, teranga(), seed);
    for (size_t i = 0; i < scene.daemonCount(); ++i)
        scene.daemon(i).promoter().setRank(0);
    scene.startWriting();
    const Instant failedAt = scene.loop().now();
    scene.targets().setDown(scene.target(0), true);
    scene.loop().advance(Milliseconds(6000));
    CHECK(scene.daemon(1).longestGap(failedAt) <= greatestGap);
    CHECK(scene.lostWrites().empty());
    CHECK(scene.termsWithTwoPrimaries().empty());
}

TEST_CASE("a second failure during a promotion is survived as far as a majority remains", "[promotion]")
{
    const std::string second = GENERATE("the next primary", "the promoter", "the answer to the promotion", "the majority");
    CAPTURE(second);
    PromotionScene scene(5, 4, teranga());
    scene.startWriting();
    const Instant failedAt = scene.loop().now();
    scene.targets().setDown(scene.target(0), true);
    if (second == "the answer to the promotion") {
        for (size_t i = 1; i < 5; ++i)
            scene.targets().loseNextAnswer(scene.target(i), TargetOperation::Promote);
    }
    const bool isFenced = scene.loop().runUntil([&] { return scene.model().statusOf(scene.target(1)).term == Term(2); }, Milliseconds(2000));
    REQUIRE(isFenced);
    if (second == "the next primary") {
        REQUIRE(scene.loop().runUntil([&] { return scene.promotions() == 1; }, Milliseconds(2000)));
        scene.targets().setDown(scene.primaries().begin()->second, true);
    }
    if (second == "the promoter")
        scene.killDaemon(0);
    if (second == "the majority") {
        scene.targets().setDown(scene.target(1), true);
        scene.targets().setDown(scene.target(2), true);
        scene.loop().advance(Milliseconds(3000));
        CHECK(scene.daemon(2).longestGap(failedAt) > greatestGap);
        scene.targets().setDown(scene.target(1), false);
    }
    const Instant resumedAt = scene.loop().now();
    scene.loop().advance(Milliseconds(5000));
    CHECK(scene.daemon(1).longestGap(resumedAt) <= greatestGap * 2);
    CHECK(scene.lostWrites().empty());
    CHECK(scene.termsWithTwoPrimaries().empty());
}

TEST_CASE("a planned change loses nothing and stops writes for a few round trips only", "[promotion]")
{
    PromotionScene scene(3, 3, teranga());
    scene.model().setReplication(scene.target(1), Milliseconds(40), Milliseconds(0));
    scene.startWriting();
    scene.model().setLeaving(scene.target(0), true);
    const Instant orderedAt = scene.loop().now();
    scene.daemon(0).promoter().replacePrimary();
    scene.loop().advance(Milliseconds(2000));
    REQUIRE(scene.daemon(0).reports().size() == 1);
    CHECK(scene.daemon(0).reports().front().cause == PromotionCause::Planned);
    CHECK(scene.daemon(0).reports().front().primary == scene.target(2));
    const Milliseconds gap = scene.daemon(0).longestGap(orderedAt);
    printGap("teranga", "planned", scene.daemon(0).reports().front(), orderedAt, gap);
    CHECK(gap <= Milliseconds(100));
    // Nothing that a primary committed is lost, acknowledged or not.
    size_t commits = 0;
    for (const auto& it : scene.model().history())
        commits += it.operation == TargetOperation::Write ? 1 : 0;
    CHECK(scene.lostWrites().empty());
    CHECK(scene.model().survivingLog().size() >= commits);
}

TEST_CASE("a returning primary with a longer log of an older term is not promoted", "[promotion]")
{
    PromotionScene scene(3, 3, teranga());
    for (size_t i = 1; i < 3; ++i)
        scene.model().setReplication(scene.target(i), Milliseconds(600), Milliseconds(0));
    scene.startWriting();
    scene.setCutOff(scene.target(0), true);
    for (size_t i = 1; i < 3; ++i)
        scene.model().setReplication(scene.target(i), Milliseconds(1), Milliseconds(0));
    REQUIRE(scene.loop().runUntil([&] { return scene.promotions() == 1; }, Milliseconds(2000)));
    scene.loop().advance(Milliseconds(100));
    const TargetId second = scene.primaries().begin()->second;
    REQUIRE(scene.model().statusOf(second).position < scene.model().statusOf(scene.target(0)).position);
    scene.targets().setDown(second, true);
    scene.setCutOff(scene.target(0), false);
    scene.loop().advance(Milliseconds(5000));
    REQUIRE(scene.promotions() == 2);
    CHECK(scene.primaries().rbegin()->second != scene.target(0));
    CHECK(scene.lostWrites().empty());
}

TEST_CASE("a target stranded on a later term than the primary is taken back", "[promotion]")
{
    PromotionScene scene(3, 3, teranga());
    scene.startWriting();
    TargetBatch fence;
    fence.operation = TargetOperation::Fence;
    fence.term = Term(2);
    ModelTransaction connection;
    REQUIRE(scene.model().execute(scene.target(2), fence, connection).ok());
    const Instant strandedAt = scene.loop().now();
    scene.loop().advance(Milliseconds(5000));
    CHECK(scene.primaries() == std::map<uint64_t, TargetId> { { 3, scene.target(0) } });
    CHECK(scene.model().statusOf(scene.target(2)).term == Term(3));
    CHECK(scene.daemon(0).longestGap(strandedAt) <= Milliseconds(300));
    CHECK(scene.lostWrites().empty());
}

TEST_CASE("random faults, two and more at a time, make one primary a term and lose nothing", "[promotion]")
{
    const auto seed = GENERATE(range<uint64_t>(1, scheduleSeeds + 1));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    PromotionScene scene(random() % 3 == 0 ? 5 : 3, 3, random() % 2 == 0 ? teranga() : vizitka(), seed);
    for (size_t i = 0; i < scene.daemonCount(); ++i)
        scene.daemon(i).promoter().setRank(static_cast<uint32_t>(random() % 2));
    for (size_t i = 0; i < scene.targetCount(); ++i)
        changeReplication(scene, scene.target(i), random);
    scene.startWriting(Milliseconds(15));
    for (int i = 0; i < faultsPerSchedule; ++i) {
        injectFault(scene, random);
        scene.loop().advance(Milliseconds(static_cast<double>(random() % 1200)));
    }
    CHECK(scene.lostWrites().empty());
    CHECK(scene.termsWithTwoPrimaries().empty());
    // Once the faults are over the group serves again: a majority answers, asked now.
    bool isConfirmed = false;
    scene.daemon(0).control().askPrimaryPosition(scene.loop().now() + Milliseconds(500), [&isConfirmed](const absl::StatusOr<PrimaryPosition>& position) { isConfirmed = position.ok(); });
    scene.loop().advance(Milliseconds(500));
    CHECK(isConfirmed);
}
