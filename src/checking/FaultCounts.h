#pragma once

#include "base/ResultCode.h"
#include "standins/FakeTargets.h"

namespace parsleypaddle {

/// What a caller was told of one request. Each session numbers its writes and stores the number under its own key.
struct ToldOutcome {
    DatabaseId database;
    std::string key;
    bool isWrite { false };
    /// Number of this write within its session; for reads the greatest one acknowledged before it was asked.
    uint64_t write { 0 };
    /// For reads, the write that was seen.
    uint64_t seen { 0 };
    /// The request that commits, for writes.
    RequestId request;
    ResultCode code { ResultCode::OutcomeUnknown };
};

/// When a target was marked as leaving.
struct Leaving {
    TargetId target;
    Instant since;
};

/// Harm done in a run; all must stay 0.
struct FaultCounts {
    uint64_t doubled { 0 };
    uint64_t lost { 0 };
    uint64_t staleSessionReads { 0 };
    uint64_t ackedByReplaced { 0 };
    uint64_t falseNotRun { 0 };
    uint64_t mixedTransactions { 0 };
    uint64_t workToLeaving { 0 };

    FaultCounts& operator+=(const FaultCounts&);
};

/// Compares what callers were told with what the modelled groups did. It knows nothing of the decisions.
FaultCounts countFaults(FakeTargets&, const Configuration&, const std::vector<ToldOutcome>&, const std::vector<Leaving>&);

}
