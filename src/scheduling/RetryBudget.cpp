#include "scheduling/RetryBudget.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr double millisecondsPerSecond = 1000;
    /// Tokens of a new budget, so that a daemon can retry right after its start.
    constexpr double initialTokens = 5;

}

RetryBudget::RetryBudget(const RetryBudgetSettings& settings)
    : m_settings(settings)
    , m_tokens(std::min(initialTokens, settings.maxTokens))
{
}

void RetryBudget::recordFirstAttempt()
{
    m_tokens = std::min(m_tokens + m_settings.tokensPerFirstAttempt, m_settings.maxTokens);
}

bool RetryBudget::tryConsumeRetry(Instant now)
{
    if (m_refilledAt != Instant()) {
        const double seconds = std::max(0.0, (now - m_refilledAt).count() / millisecondsPerSecond);
        m_tokens = std::min(m_tokens + seconds * m_settings.tokensPerSecond, m_settings.maxTokens);
    }
    m_refilledAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

}
