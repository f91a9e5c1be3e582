#pragma once

#include "measure/Callers.h"

namespace parsleypaddle {

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

/// When a target was marked as leaving.
struct Leaving {
    TargetId target;
    Instant since;
};

/// Compares what callers were told with what the modelled groups did. It knows nothing of the decisions.
FaultCounts countFaults(FakeTargets&, const Configuration&, const std::vector<CallerResult>&, const std::vector<Leaving>&);

}
