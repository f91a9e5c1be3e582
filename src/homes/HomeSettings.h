#pragma once

#include "acknowledgement/GroupControl.h"
#include "base/BrokenRules.h"
#include "promotion/Promoter.h"

namespace parsleypaddle {

/// Times and limits of the work at a home.
struct HomeSettings {
    GroupControlSettings control;
    PromoterSettings promoter;
    /// A write asks a majority first when it was not seen on the primary's term within this.
    Milliseconds majorityFreshness { 1000 };
    /// Longest wait for that majority.
    Milliseconds confirmationTimeout { 400 };
    /// Longest wait for one answer of a target; a connection silent for longer is abandoned.
    Milliseconds answerTimeout { 2000 };
    /// Share of a request's remaining time that one answer may take, so that time is left to try again.
    double answerShare { 0.6 };
    /// A transaction without a statement for this long is rolled back.
    Milliseconds transactionIdle { 10'000 };
    /// A primary that is leaving takes work this long while its successor is promoted.
    Milliseconds leavingGrace { 2000 };
    /// Work that may wait at one target.
    uint32_t queueCapacity { 1000 };
    BrokenRules brokenRules;
};

}
