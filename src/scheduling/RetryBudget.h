#pragma once

#include "base/Time.h"

namespace parsleypaddle {

/// How many retries are allowed beside first attempts.
struct RetryBudgetSettings {
    /// Retries earned by each first attempt.
    double share { 0.1 };
    /// Retries that can be saved up at most.
    double most { 50 };
    /// Retries earned per second without any first attempt, so that a quiet daemon may retry too.
    double reservePerSecond { 1 };
};

/// Keeps retries to a share of recent first attempts, so that they cannot feed an overload. Pure.
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetSettings& = {});

    void firstAttempt();

    /// Spends one retry; false when none is left.
    bool takeRetry(Instant now);

private:
    RetryBudgetSettings m_settings;
    double m_tokens;
    Instant m_refilledAt;
};

}
