#pragma once

#include "base/Time.h"

namespace parsleypaddle {

/// Rates and limit of a retry budget, a token bucket in which one token pays for one retry.
struct RetryBudgetSettings {
    /// Tokens added for each first attempt.
    double tokensPerFirstAttempt { 0.1 };
    /// Capacity of the bucket.
    double maxTokens { 50 };
    /// Tokens added per second regardless of traffic, so that a daemon with few requests can retry too.
    double tokensPerSecond { 1 };
};

/// Limits retries to a share of the first attempts plus a low constant rate, so that retries cannot amplify an overload.
/// Reads no clock: callers pass the time.
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetSettings& = {});

    /// Adds the tokens for one first attempt.
    void recordFirstAttempt();

    /// Consumes the token for one retry; returns false, and consumes nothing, when less than one token is left.
    bool tryConsumeRetry(Instant now);

private:
    RetryBudgetSettings m_settings;
    double m_tokens;
    Instant m_refilledAt;
};

}
