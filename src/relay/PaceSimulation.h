#pragma once

#include "base/Time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace parsleypaddle {

/// A fault of the target during a part of the simulation.
struct SimulatedFault {
    Milliseconds begin;
    Milliseconds end;
    /// Connections are lost, and no new one can be opened.
    bool isDown { false };
    /// Factor of the service times.
    double slowness { 1 };
    /// Part of the statements that are answered with BUSY at once.
    double busyShare { 0 };
    /// Part of the statements whose connections are lost.
    double lostShare { 0 };
};

struct PaceSimulationSettings {
    uint64_t seed { 1 };
    uint32_t slots { 4 };
    uint32_t queueLength { 32 };
    /// Connections of each home to the target.
    uint32_t connections { 4 };
    /// Offered load as a part of what the slots can serve.
    double utilisation { 0.8 };
    /// The most that is offered before the end of the warm-up.
    double warmUpUtilisation { 0.5 };
    /// Part of all statements that arrive at the first home.
    double firstHomeShare { 0.125 };
    std::vector<SimulatedFault> faults;
    /// Statements that arrive before are not counted.
    Milliseconds warmUp { 2'000 };
    Milliseconds duration { 16'000 };
    /// Whether the homes' limits adapt; otherwise each sends a fixed number of statements at a time.
    bool isAdaptive { true };
};

struct PaceSimulationResult {
    static constexpr Milliseconds bucket { 50 };
    static constexpr size_t bucketCount = 60;

    uint64_t offered { 0 };
    /// Answered within the objective of 200 ms.
    uint64_t inTime { 0 };
    uint64_t late { 0 };
    /// Not sent, by a decision of the home's queue, or refused by the target.
    uint64_t refused { 0 };
    /// Reads that the home did not send because it avoids the target; another target runs them.
    uint64_t elsewhere { 0 };
    /// Sent, or to be sent, to a target that was down or lost the connection.
    uint64_t lost { 0 };
    /// Refusals by the target.
    uint64_t busy { 0 };
    /// Statements that were sent.
    uint64_t sent { 0 };
    /// Answers in time in each bucket after the end of the last fault, and in the same time of the warm-up's second half.
    std::array<uint64_t, bucketCount> answersAfterFault {};
    /// Sum of the limits of all homes when statements were sent.
    double limits { 0 };

    void add(const PaceSimulationResult&);
    double shareOf(uint64_t n) const { return offered == 0 ? 0 : static_cast<double>(n) / static_cast<double>(offered); }
};

/// Runs eight homes and one target on virtual time. The target serves statements in the order of their arrival; their service times are
/// lognormal with means of 12 and 33 ms, and 3% take 7 times longer. Each home has a work queue and decides for itself. Half of the
/// statements are reads that another target can run. Refused statements are not repeated.
PaceSimulationResult simulatePace(const PaceSimulationSettings&);

}
