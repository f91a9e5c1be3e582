#include "scheduling/RetryBudget.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr double millisecondsPerSecond = 1000;
    /// What a new daemon may spend before it has seen any first attempt.
    constexpr double firstTokens = 5;

}

RetryBudget::RetryBudget(const RetryBudgetSettings& settings)
    : m_settings(settings)
    , m_tokens(std::min(firstTokens, settings.most))
{
}

void RetryBudget::firstAttempt()
{
    m_tokens = std::min(m_tokens + m_settings.share, m_settings.most);
}

bool RetryBudget::takeRetry(Instant now)
{
    if (m_refilledAt != Instant()) {
        const double seconds = std::max(0.0, (now - m_refilledAt).count() / millisecondsPerSecond);
        m_tokens = std::min(m_tokens + seconds * m_settings.reservePerSecond, m_settings.most);
    }
    m_refilledAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

}
