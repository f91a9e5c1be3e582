#include "routing/FailureShare.h"
#include "routing/TargetHealth.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace parsleypaddle;

namespace {

constexpr Instant started { 1'000'000.0 };

}

TEST_CASE("one lost statement among answers does not make a target suspected, two in a row do", "[health]")
{
    FailureShare failures(1);
    failures.recordFailure(started);
    CHECK_FALSE(failures.isSuspected());
    failures.recordAnswer(started);
    failures.recordAnswer(started);
    failures.recordFailure(started);
    CHECK_FALSE(failures.isSuspected());
    failures.recordFailure(started);
    CHECK(failures.isSuspected());
    CHECK(failures.isUnproven());
    CHECK(failures.isPaused(started));
}

// Guards against eight homes that try a target again at the same time.
TEST_CASE("daemons with different seeds try a failing target at different times", "[health]")
{
    std::set<int> pauses;
    for (uint64_t seed = 1; seed <= 8; ++seed) {
        FailureShare failures(seed * 7919);
        failures.recordUnreachable(started);
        int pause = 0;
        while (failures.isPaused(started + Milliseconds(pause)))
            ++pause;
        CHECK(pause >= 50);
        CHECK(pause <= 100);
        pauses.insert(pause);
    }
    CHECK(pauses.size() >= 4);
}

TEST_CASE("while a probe is not answered, a suspected target is paused for", "[health]")
{
    FailureShare failures(3);
    failures.recordUnreachable(started);
    const Instant due = started + Milliseconds(100);
    CHECK_FALSE(failures.isPaused(due));
    failures.recordProbe(due);
    CHECK(failures.isPaused(due + Milliseconds(500)));
    failures.recordAnswer(due + Milliseconds(10));
    // A quarter of the second pause of 200 ms at most.
    CHECK_FALSE(failures.isPaused(due + Milliseconds(10 + 50)));
    CHECK_FALSE(failures.isUnproven());
}

// Guards against a target that is healthy again and left idle: with the longest pauses it was avoided for 1,600 ms.
TEST_CASE("a target that was down for long is trusted again after six answers and 350 ms", "[health]")
{
    FailureShare failures(4);
    Instant now = started;
    for (int n = 0; n < 20; ++n) {
        failures.recordProbe(now);
        failures.recordUnreachable(now);
        now = now + Milliseconds(1000);
    }
    const Instant recovered = now;
    int answers = 0;
    while (failures.isSuspected()) {
        now = now + Milliseconds(1);
        if (failures.isPaused(now))
            continue;
        failures.recordProbe(now);
        failures.recordAnswer(now);
        ++answers;
    }
    CHECK(answers <= 6);
    CHECK(now - recovered <= Milliseconds(350));
}

// Guards against a target that answers often enough to be trusted again and again: it fails reads that other targets would serve.
TEST_CASE("a target that fails 40% of its statements gets a trickle of reads", "[health]")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        FailureShare failures(seed);
        std::mt19937_64 random(seed);
        int sent = 0;
        for (Milliseconds t; t < Milliseconds(10'000); t = t + Milliseconds(20)) {
            const Instant now = started + t;
            if (failures.isPaused(now))
                continue;
            failures.recordProbe(now);
            ++sent;
            if (std::uniform_real_distribution<double>(0, 1)(random) < 0.4)
                failures.recordFailure(now);
            else
                failures.recordAnswer(now);
        }
        CHECK(sent <= 500 * 0.2);
        CHECK(sent >= 5);
    }
}

// Guards against a target that all homes stop using because one caller's statements are wrong.
TEST_CASE("statements that fail because of their text do not make a target suspected", "[health]")
{
    FailureShare failures(5);
    for (int n = 0; n < 100; ++n)
        failures.recordError(started);
    CHECK_FALSE(failures.isSuspected());
    CHECK(failures.share(started) > 0.3);
    CHECK(failures.share(started + Milliseconds(6000)) < 0.05);
}

TEST_CASE("a full target is neither suspected nor avoided", "[health]")
{
    TargetHealth health;
    health.avoidInProportion(6);
    for (int n = 0; n < 50; ++n)
        health.failures()->recordRefusal(started);
    CHECK_FALSE(health.isAvoided(started));
    CHECK(health.failures()->share(started) == 0);
}

// Guards against replicas that lose all reads because some need the newest log.
TEST_CASE("a replica that lacks a log position keeps the reads that need an older one", "[health]")
{
    TargetHealth health;
    health.avoidInProportion(7);
    const LogMark older { Term(1), LogPosition(10) };
    const LogMark newer { Term(1), LogPosition(20) };
    health.recordLagging(newer, started);
    CHECK(health.isBehind(newer, started + Milliseconds(10)));
    CHECK_FALSE(health.isBehind(older, started + Milliseconds(10)));
    CHECK_FALSE(health.isAvoided(started + Milliseconds(10)));
    CHECK_FALSE(health.isBehind(newer, started + Milliseconds(60)));
    health.recordLagging(newer, started + Milliseconds(60));
    CHECK(health.isBehind(newer, started + Milliseconds(150)));
    health.recordApplied(newer);
    CHECK_FALSE(health.isBehind(newer, started + Milliseconds(150)));
}
