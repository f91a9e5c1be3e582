#include "checking/Trial.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>

using namespace parsleypaddle;

namespace {

constexpr uint64_t trialSeeds = 20;
constexpr uint64_t brokenSeeds = 4;

/// A rule and the count that must rise when it is broken.
struct BrokenCase {
    const char* name;
    BrokenRule rule;
    std::vector<uint64_t CheckerCounts::*> counts;
};

void printCounts(uint64_t seed, const TrialResult& result)
{
    std::printf("seed %lu: %lu requests, %lu done, %lu unknown, %lu promotions", static_cast<unsigned long>(seed),
        static_cast<unsigned long>(result.requests), static_cast<unsigned long>(result.done), static_cast<unsigned long>(result.unknown),
        static_cast<unsigned long>(result.promotions));
    for (const auto& it : checkerCountFields()) {
        if (result.counts.*it.count > 0)
            std::printf(", %s %lu", it.name, static_cast<unsigned long>(result.counts.*it.count));
    }
    std::printf("\n");
}

}

TEST_CASE("random faults, two and more at a time, break no guarantee", "[checking]")
{
    const auto seed = GENERATE(range<uint64_t>(1, trialSeeds + 1));
    CAPTURE(seed);
    TrialSettings settings;
    settings.seed = seed;
    settings.daemonsPerDomain = 1 + seed % 2;
    const TrialResult result = runTrial(settings);
    printCounts(seed, result);
    for (const auto& it : checkerCountFields()) {
        INFO(it.name);
        CHECK(result.counts.*it.count == 0);
    }
    CHECK(result.servesAgain);
}

TEST_CASE("each rule that is broken on purpose makes its count rise", "[checking]")
{
    const std::vector<BrokenCase> cases {
        { "session position", BrokenRule::SessionPosition, { &CheckerCounts::staleSessionReads } },
        { "ledger", BrokenRule::Ledger, { &CheckerCounts::doubled } },
        { "confirmation", BrokenRule::Confirmation, { &CheckerCounts::lost, &CheckerCounts::ackedByReplaced } },
        { "unknown outcome", BrokenRule::UnknownOutcome, { &CheckerCounts::falseNotRun } },
        { "transaction connection", BrokenRule::TransactionConnection, { &CheckerCounts::mixedTransactions } },
        { "leaving", BrokenRule::Leaving, { &CheckerCounts::workToLeaving } },
    };
    for (const auto& it : cases) {
        CheckerCounts sum;
        for (uint64_t seed = 1; seed <= brokenSeeds; ++seed) {
            TrialSettings settings;
            settings.seed = seed;
            settings.brokenRules = BrokenRules({ it.rule });
            settings.daemonsPerDomain = 1 + seed % 2;
            const TrialResult result = runTrial(settings);
            for (const auto& field : checkerCountFields())
                sum.*field.count += result.counts.*field.count;
        }
        std::printf("broken %s, seeds 1 to %lu:", it.name, static_cast<unsigned long>(brokenSeeds));
        for (const auto& field : checkerCountFields())
            std::printf(" %s %lu", field.name, static_cast<unsigned long>(sum.*field.count));
        std::printf("\n");
        INFO(it.name);
        for (const auto count : it.counts)
            CHECK(sum.*count > 0);
    }
}

TEST_CASE("one trial of the seed in PARSLEYPADDLE_SEED", "[.seed]")
{
    const char* text = std::getenv("PARSLEYPADDLE_SEED");
    REQUIRE(text);
    TrialSettings settings;
    settings.seed = std::strtoull(text, nullptr, 10);
    settings.daemonsPerDomain = 1 + settings.seed % 2;
    const TrialResult result = runTrial(settings);
    printCounts(settings.seed, result);
    CHECK(result.counts.total() == 0);
    CHECK(result.servesAgain);
}
