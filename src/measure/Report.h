#pragma once

#include "measure/Scenarios.h"

#include <string>

namespace parsleypaddle {

/// Both sides on the same seed and arrivals.
struct Comparison {
    std::string workload;
    uint64_t seed { 1 };
    Measures naive;
    Measures product;
};

/// One JSON object on one line.
std::string toJson(const Comparison&);

/// A table for people.
std::string toTable(const Comparison&);

/// The crest run of both sides, one line for each span.
std::string toCsv(const std::vector<SeriesPoint>& naive, const std::vector<SeriesPoint>& product);

}
