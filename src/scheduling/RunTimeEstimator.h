#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace parsleypaddle {

/// What a statement is expected to take of a slot.
struct RunTimeEstimate {
    /// Geometric mean: what most runs take, hardly moved by a few stragglers.
    Milliseconds typical;
    /// Arithmetic mean: what the slot loses on average.
    Milliseconds mean;
    /// Mean distance from the mean.
    Milliseconds deviation;
};

/// Learns run times by statement. Recent runs count most, old knowledge is forgotten. Pure.
class RunTimeModel {
public:
    /// The estimate for a statement; that of all statements together when it was not seen lately.
    RunTimeEstimate estimate(uint64_t statement, Instant now) const;

    void learn(uint64_t statement, Milliseconds took, Instant now);

    size_t statements() const { return m_statements.size(); }

private:
    struct Learned {
        double logTypical { 0 };
        double mean { 0 };
        double deviation { 0 };
        uint32_t runs { 0 };
        Instant lastRun;
    };

    static void add(Learned&, double took, Instant now);
    static RunTimeEstimate estimateOf(const Learned&);
    void forgetOldest();

    std::map<uint64_t, Learned> m_statements;
    Learned m_all;
};

}
