#pragma once

#include "scheduling/WorkQueue.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace parsleypaddle {

/// A class of statements, with what an answer is worth to its callers.
struct SimulatedClass {
    std::string name;
    Urgency urgency { Urgency::Normal };
    Milliseconds work;
    Milliseconds objective;
    Milliseconds timeout;
    /// Until when, after its first attempt, a caller still takes an answer.
    Milliseconds patience;
    double valueInTime { 0 };
    double valueLate { 0 };
    /// Share of all operations.
    double share { 0 };
};

/// The classes of the first deployment.
const std::vector<SimulatedClass>& simulatedClasses();

struct QueueSimulationSettings {
    uint64_t seed { 1 };
    uint32_t slots { 3 };
    /// Operations sent before the end of the warm-up count for nothing.
    Milliseconds warmUp { 10'000 };
    Milliseconds duration { 20'000 };
    /// Operations per second of each organisation, by name.
    std::map<std::string, double> rates;
    bool servesLateWork { true };
    bool limitsToShares { true };
    /// After the warm-up, the organisation `loud` has `loudFactor` times its rate, and all others have `burst` times theirs.
    std::string loud;
    double loudFactor { 1 };
    double burst { 1 };
};

/// What the callers of one organisation got.
struct SimulatedOutcome {
    uint64_t offered { 0 };
    uint64_t inTime { 0 };
    uint64_t late { 0 };
    uint64_t refused { 0 };
    double value { 0 };
    double possibleValue { 0 };
    /// Refusals after a wait of more than half the statement's time-out.
    uint64_t refusedAfterLongWait { 0 };

    void add(const SimulatedOutcome&);
    double shareInTime() const { return offered == 0 ? 1 : static_cast<double>(inTime) / static_cast<double>(offered); }
    double shareOfValue() const { return possibleValue == 0 ? 1 : value / possibleValue; }
};

/// Offers a work queue the statements of callers that repeat a refused operation up to twice, on virtual time in steps of 1 ms.
/// The queue does not learn that a statement is a repetition, so its objective starts anew there, but not for the caller.
std::map<std::string, SimulatedOutcome> simulateQueue(const QueueSimulationSettings&);

}
