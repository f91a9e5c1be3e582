#include "scheduling/ConcurrencyLimit.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace parsleypaddle;

namespace {

constexpr uint64_t kind = 1;
constexpr uint64_t firstSeed = 31;

/// One home's statements at a target whose latencies vary by a factor of 2; 3% are 7 times longer.
struct PacedTarget {
    explicit PacedTarget(uint64_t seed = firstSeed)
        : random(seed)
    {
        INFO("seed " << seed);
    }

    void answer(double slowness = 1, bool wasInUse = true)
    {
        const double outlier = std::uniform_real_distribution<double>(0, 1)(random) < 0.03 ? 7 : 1;
        const Milliseconds latency(12 * slowness * outlier * std::lognormal_distribution<double>(0, 0.35)(random));
        now = now + Milliseconds(100);
        limit.recordAnswer({ kind, latency, wasInUse }, now);
    }

    void answers(int n, double slowness = 1, bool wasInUse = true)
    {
        for (int i = 0; i < n; ++i)
            answer(slowness, wasInUse);
    }

    std::mt19937_64 random;
    Instant now { 1'000'000.0 };
    ConcurrencyLimit limit { { 3, 5 } };
};

}

TEST_CASE("a limit begins at one and reaches the home's share after a good answer for each further statement", "[pace]")
{
    PacedTarget target;
    CHECK(target.limit.limit() == 1);
    CHECK(target.limit.takeChange() == PaceReason::Started);
    target.limit.recordAnswer({ kind, Milliseconds(12), false }, target.now);
    CHECK(target.limit.limit() == 2);
    target.limit.recordAnswer({ kind, Milliseconds(12), false }, target.now);
    CHECK(target.limit.limit() == 3);
    CHECK(target.limit.phase() == PacePhase::Steady);
    CHECK(target.limit.takeChange() == PaceReason::ReachedShare);
    CHECK_FALSE(target.limit.takeChange());
}

// Guards against a home that keeps statements waiting although the target has free slots that other homes do not use.
TEST_CASE("a limit in use exceeds the share up to the number of connections while statements do not queue", "[pace]")
{
    for (uint64_t seed = firstSeed; seed < firstSeed + 20; ++seed) {
        PacedTarget target(seed);
        target.answers(20, 1, false);
        CHECK(target.limit.limit() == 3);
        target.answers(40);
        CHECK(target.limit.limit() >= 4);
        CHECK(target.limit.limit() <= 5);
    }
}

// Guards against an unfair division of a full target: a home that takes queueing for the usual latency grows at the cost of others.
TEST_CASE("a home that starts while the target is full stays at its share", "[pace]")
{
    PacedTarget target;
    target.answers(500, 4);
    CHECK(target.limit.limit() == 3);
}

TEST_CASE("single slow answers do not shrink the limit", "[pace]")
{
    PacedTarget target;
    target.answers(100, 1, false);
    for (int n = 0; n < 200; ++n) {
        target.answers(19, 1, false);
        target.answer(7, false);
        REQUIRE(target.limit.limit() >= 3);
    }
}

// Guards against homes that together keep a target's queue full for as long as a fault lasts.
TEST_CASE("the limit shrinks to one while latency is far above the usual one, and returns afterwards", "[pace]")
{
    for (uint64_t seed = firstSeed; seed < firstSeed + 20; ++seed) {
        INFO("seed " << seed);
        PacedTarget target(seed);
        target.answers(100, 1, false);
        target.answers(60, 15);
        CHECK(target.limit.limit() == 1);
        target.answers(30);
        CHECK(target.limit.limit() >= 3);
    }
}

TEST_CASE("refusals by a full target halve the limit once for the statements in flight, and never suspect the target", "[pace]")
{
    PacedTarget target;
    target.answers(20, 1, false);
    target.answers(60);
    const uint32_t before = target.limit.limit();
    REQUIRE(before >= 4);
    const Instant sentAt = target.now;
    target.now = target.now + Milliseconds(2);
    for (int n = 0; n < 4; ++n)
        target.limit.recordBusy(sentAt, target.now);
    CHECK(target.limit.limit() == before / 2);
    for (int n = 0; n < 20; ++n) {
        target.now = target.now + Milliseconds(2);
        target.limit.recordBusy(target.now, target.now);
    }
    CHECK(target.limit.limit() == 1);
    CHECK(target.limit.phase() == PacePhase::Steady);
}

TEST_CASE("a suspected target gets one statement at a time until it has recovered", "[pace]")
{
    PacedTarget target;
    target.answers(20, 1, false);
    target.limit.suspect();
    target.answers(10);
    CHECK(target.limit.limit() == 1);
    target.limit.begin(PaceReason::Recovered);
    CHECK(target.limit.limit() == 1);
    target.answers(10);
    CHECK(target.limit.limit() >= 3);
}

// Guards against a log line for each refusal.
TEST_CASE("a limit that shrinks again and again reports it once until it has returned to the share", "[pace]")
{
    PacedTarget target;
    target.answers(20, 1, false);
    target.limit.takeChange();
    int reports = 0;
    for (int n = 0; n < 50; ++n) {
        target.now = target.now + Milliseconds(2);
        target.limit.recordBusy(target.now, target.now);
        reports += target.limit.takeChange() ? 1 : 0;
    }
    CHECK(reports == 1);
}
