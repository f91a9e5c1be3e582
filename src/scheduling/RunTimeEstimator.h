#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace parsleypaddle {

/// Estimated time that a statement occupies a slot.
struct RunTimeEstimate {
    /// Geometric mean of the run times; a few outliers barely change it.
    Milliseconds geometricMean;
    /// Arithmetic mean of the run times: the slot time that one run uses on average.
    Milliseconds mean;
    /// Mean absolute deviation from `mean`.
    Milliseconds deviation;
};

/// Estimates run times per statement by exponential moving averages. Statistics expire when a statement has not run
/// for a while. Reads no clock: callers pass the time.
class RunTimeEstimator {
public:
    /// The estimate for a statement, the one over all statements when this one has not run lately, or a default when none
    /// has run yet.
    RunTimeEstimate estimate(uint64_t statement, Instant now) const;

    void recordRun(uint64_t statement, Milliseconds duration, Instant now);

    size_t statementCount() const { return m_statements.size(); }

private:
    struct Statistics {
        double logMean { 0 };
        double mean { 0 };
        double deviation { 0 };
        uint32_t runs { 0 };
        Instant lastRun;
    };

    static void addRun(Statistics&, double duration, Instant now);
    static RunTimeEstimate estimateOf(const Statistics&);
    void evictLeastRecent();

    std::map<uint64_t, Statistics> m_statements;
    Statistics m_all;
};

}
