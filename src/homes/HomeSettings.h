#pragma once

#include "acknowledgement/GroupControl.h"
#include "base/BrokenRules.h"
#include "promotion/Promoter.h"

namespace parsleypaddle {

/// Timeouts and limits of a home, the daemon that queues and runs the requests to a target.
struct HomeSettings {
    GroupControlSettings control;
    PromoterSettings promoter;
    /// A Settle, or a write that is not part of an open transaction, waits until a majority of the group confirms the primary, if
    /// the last confirmation is older than this.
    Milliseconds maxConfirmationAge { 1000 };
    /// Timeout of such a confirmation, also of one that a read at the primary waits for.
    Milliseconds confirmationTimeout { 400 };
    /// Timeout of one answer of a target. The connection is closed when it expires.
    Milliseconds answerTimeout { 2000 };
    /// Fraction of a request's remaining time that one answer may take, so that time remains for a retry.
    double answerTimeoutShare { 0.6 };
    /// A transaction is rolled back when no statement arrives for this long after the previous one ended.
    Milliseconds transactionIdleTimeout { 10'000 };
    /// A primary that is about to shut down accepts work for this long, while its successor is promoted.
    Milliseconds leavingGracePeriod { 2000 };
    /// Requests that may wait in the queue of one target.
    uint32_t queueCapacity { 1000 };
    /// Safety rules that a test disables on purpose; none in builds without test hooks.
    BrokenRules brokenRules;
};

}
