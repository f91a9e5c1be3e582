#pragma once

#include "base/BrokenRules.h"
#include "checking/Checker.h"

namespace parsleypaddle {

/// One randomized run of a fleet under faults.
struct TrialSettings {
    uint64_t seed { 1 };
    size_t daemonsPerDomain { 1 };
    size_t faults { 16 };
    BrokenRules brokenRules;
};

/// What came of it.
struct TrialResult {
    CheckerCounts counts;
    uint64_t requests { 0 };
    uint64_t done { 0 };
    uint64_t unknown { 0 };
    uint64_t promotions { 0 };
    /// The group served again once the faults were over.
    bool servesAgain { false };
};

/// Runs three failure domains with a target and daemons in each. Equal settings give equal results.
TrialResult runTrial(const TrialSettings&);

}
