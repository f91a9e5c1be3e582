#pragma once

#include "measure/Callers.h"

namespace parsleypaddle {

/// Which side of the comparison runs.
enum class Side : uint8_t {
    Naive,
    Product,
};

/// What a run is asked for.
struct RunSettings {
    Side side { Side::Product };
    uint64_t seed { 1 };
    BrokenRules brokenRules;
};

/// The measures of one side.
struct Measures {
    double replicaReadShare { 0 };
    double allowedReplicaReads { 0 };
    double failoverGap { 0 };
    double crestInDeadlineShare { 0 };
    /// Answered in time of all that was asked at the crest, and after it.
    double crestAnsweredShare { 0 };
    double afterCrestAnsweredShare { 0 };
    double shortP99 { 0 };
    double shortP99WithoutStragglers { 0 };
    /// All demand at one daemon; and around the death of a daemon: 99th percentile, share answered, most connections.
    double oneDaemonP99 { 0 };
    double oneDaemonAnsweredShare { 0 };
    double daemonDeathGap { 0 };
    double mostConnections { 0 };
    FaultCounts faults;
};

/// One point of a series: what was answered within one span of the crest run.
struct SeriesPoint {
    Milliseconds at;
    uint64_t asked { 0 };
    double answeredShare { 0 };
    double p99 { 0 };
};

/// Runs every scenario for one side on fakes and virtual time.
Measures measure(const Deployment&, const RunSettings&, std::vector<SeriesPoint>* crestSeries = nullptr);

}
