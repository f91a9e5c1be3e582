#pragma once

#include "measure/Deployment.h"

namespace parsleypaddle {

/// A span of constant demand.
struct Phase {
    Milliseconds length;
    /// Requests per second of urgent classes, and of all others.
    double urgentRate { 0 };
    double otherRate { 0 };
};

/// Work that runs many times longer than the rest.
struct Stragglers {
    double share { 0 };
    Milliseconds runTime { 200 };
};

/// What one caller asks at one time.
struct Arrival {
    /// Since the start of the run.
    Milliseconds at;
    size_t traffic { 0 };
    size_t organisation { 0 };
    size_t daemon { 0 };
    bool isWrite { false };
    bool isTransaction { false };
    /// Asked by a session that was served just before.
    bool isFollowUp { false };
    bool isStraggler { false };
    /// A straggler whose statement is one that always runs long, not a short one that does so this once.
    bool hasOwnStatement { false };
    Milliseconds runTime;
};

/// Organisations that share the databases evenly.
constexpr size_t organisations = 60;

/// Draws the arrivals of a run; the same seed gives the same ones. Stragglers of share 0 leave all else as it is.
std::vector<Arrival> drawArrivals(const Deployment&, const std::vector<Phase>&, const Stragglers&, uint64_t seed);

}
