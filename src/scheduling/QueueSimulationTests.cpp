#include "scheduling/QueueSimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>

using namespace parsleypaddle;

namespace {

SimulatedOutcome sumOf(const std::map<std::string, SimulatedOutcome>& outcomes, const std::string& except)
{
    SimulatedOutcome sum;
    for (const auto& [organisation, it] : outcomes) {
        if (organisation != except)
            sum.add(it);
    }
    return sum;
}

/// Rates of 81 organisations, a few of them large, that need `utilisation` of the slots together.
std::map<std::string, double> ratesFor(double utilisation, uint32_t slots)
{
    constexpr int organisations = 81;
    std::map<std::string, double> rates;
    double sum = 0;
    for (int n = 0; n < organisations; ++n)
        sum += rates["o" + std::to_string(n)] = 1.0 / (n + 1);
    double work = 0;
    for (const auto& it : simulatedClasses())
        work += it.share * it.work.count();
    const double total = utilisation * slots * 1000 / work;
    for (auto& it : rates)
        it.second *= total / sum;
    return rates;
}

/// Share of the operations in time of the tenth of the organisations that got the lowest.
double worstTenth(const std::map<std::string, SimulatedOutcome>& outcomes, const std::string& except)
{
    std::vector<double> shares;
    for (const auto& [organisation, it] : outcomes) {
        if (organisation != except)
            shares.push_back(it.shareInTime());
    }
    std::sort(shares.begin(), shares.end());
    const size_t count = std::max<size_t>(1, shares.size() / 10);
    double sum = 0;
    for (size_t n = 0; n < count; ++n)
        sum += shares[n];
    return sum / static_cast<double>(count);
}

}

namespace {

/// What callers got in five runs with different seeds.
struct SimulatedRuns {
    SimulatedOutcome all;
    double worstTenth { 0 };
};

SimulatedRuns runSeeds(QueueSimulationSettings settings, const std::string& except)
{
    constexpr uint64_t runs = 5;
    SimulatedRuns result;
    for (settings.seed = 1; settings.seed <= runs; ++settings.seed) {
        const auto outcomes = simulateQueue(settings);
        result.worstTenth += worstTenth(outcomes, except) / runs;
        result.all.add(sumOf(outcomes, except));
    }
    return result;
}

}

// Guards against a large organisation whose urgent statements take the slots of all others: without shares, 13% to 24% of the others'
// operations were no longer in time.
TEST_CASE("one organisation at 7.5 times its usual load lowers the others' operations in time by at most 0.02", "[scheduling]")
{
    // A home's queue for a target, and the queue towards a peer, which has more slots.
    QueueSimulationSettings settings;
    settings.slots = GENERATE(3U, 8U);
    const double utilisation = GENERATE(0.6, 0.7);
    settings.loud = GENERATE("o0", "o5");
    settings.rates = ratesFor(utilisation, settings.slots);
    settings.duration = Milliseconds(10'000);
    const SimulatedRuns usual = runSeeds(settings, settings.loud);
    settings.loudFactor = 7.5;
    const SimulatedRuns flooded = runSeeds(settings, settings.loud);
    std::printf("seeds 1 to 5, %u slots, load %.1f, %s at 7.5 times: others in time %.4f, before %.4f; worst tenth of them %.3f, before %.3f\n",
        settings.slots, utilisation, settings.loud.c_str(), flooded.all.shareInTime(), usual.all.shareInTime(), flooded.worstTenth, usual.worstTenth);
    CHECK(flooded.all.shareInTime() >= usual.all.shareInTime() - 0.02);
    CHECK(flooded.worstTenth >= usual.worstTenth - 0.05);
}

// Guards against rules for late work and for shares that cost callers more than they gain in a burst that all take part in.
TEST_CASE("in a burst of all organisations, late work and shares cost callers nothing, and nobody is held for long and then refused", "[scheduling]")
{
    QueueSimulationSettings settings;
    const double load = GENERATE(0.9, 1.2, 1.7, 2.6);
    constexpr double usualLoad = 0.6;
    settings.rates = ratesFor(usualLoad, settings.slots);
    settings.burst = load / usualLoad;
    settings.duration = Milliseconds(10'000);
    settings.servesLateWork = false;
    settings.limitsToShares = false;
    const SimulatedRuns before = runSeeds(settings, "");
    settings.servesLateWork = true;
    settings.limitsToShares = true;
    const SimulatedRuns after = runSeeds(settings, "");
    std::printf("seeds 1 to 5, load %.1f: value %.3f, before %.3f; in time %.3f, before %.3f; worst tenth %.3f, before %.3f\n", load,
        after.all.shareOfValue(), before.all.shareOfValue(), after.all.shareInTime(), before.all.shareInTime(), after.worstTenth, before.worstTenth);
    CHECK(after.all.shareOfValue() >= before.all.shareOfValue() - 0.01);
    CHECK(after.all.shareInTime() >= before.all.shareInTime() - 0.01);
    CHECK(static_cast<double>(after.all.refusedAfterLongWait) <= 0.002 * static_cast<double>(after.all.offered));
}
