#include "quotas/OperationAllowance.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    constexpr double msPerSecond = 1000;
    /// Units that were given and not used lapse after this time, so that they are not spent in a later window.
    constexpr Milliseconds unitValidity { 500 };
    /// Weight of a sample. The first ones after a change weigh more.
    constexpr double smoothing = 0.06;
    /// So many operations must be missing before silence counts as the end of the demand.
    constexpr double missingOperations = 6;
    /// A number of arrivals that differs from the expected one by this many standard deviations is a change of demand.
    constexpr double changeDeviations = 3;
    /// Smaller numbers say little.
    constexpr double minChange = 6;
    constexpr Milliseconds minSampleTime { 100 };
    /// An organisation without operations for this long returns its share.
    constexpr Milliseconds idleTime { 3000 };
    constexpr double minDemand = 0.05;
    /// While the organisation stays over its limit, the coordinator is asked for units at most this often.
    constexpr double minRefusalMs = 200;
    constexpr double maxRefusalMs = 400;
    constexpr Milliseconds minRetry { 20 };
    constexpr Milliseconds maxRetry { 2000 };

    double changeThreshold(double expected)
    {
        return std::max(minChange, changeDeviations * std::sqrt(expected));
    }

    double uniform(std::mt19937_64& random, double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random);
    }

}

void OperationAllowance::noteArrival(Instant now)
{
    if (m_isIdle) {
        // The first operation, which begins the measurement, does not count: it would look like a high rate.
        m_sampledAt = now;
        m_arrivals = 0;
        m_samples = 0;
    } else {
        ++m_arrivals;
    }
    m_lastArrival = now;
    m_isIdle = false;
}

void OperationAllowance::refill(Instant now)
{
    const Instant until = std::min(now, m_shareUntil);
    if (until > m_refilledAt) {
        const double yielded = m_share.amount * (until - m_refilledAt).count() / msPerSecond;
        const double kept = std::clamp(m_share.depth - m_level, 0.0, yielded);
        m_level += kept;
        m_returned += yielded - kept;
    }
    m_refilledAt = now;
    if (now >= m_shareUntil)
        m_share = {};
    if (now >= m_unitsUntil)
        m_level = std::min(m_level, m_share.depth);
}

bool OperationAllowance::take(Instant now)
{
    refill(now);
    if (m_level < 1)
        return false;
    m_level -= 1;
    ++admitted;
    return true;
}

bool OperationAllowance::sample(Instant now)
{
    if (now - m_sampledAt < minSampleTime)
        return false;
    const double seconds = (now - m_sampledAt).count() / msPerSecond;
    const double expected = m_demand * seconds;
    const bool isChanged = std::abs(m_arrivals - expected) > changeThreshold(expected);
    const double present = m_arrivals / seconds;
    m_samples = isChanged ? 1 : m_samples + 1;
    m_demand += std::max(smoothing, 1.0 / m_samples) * (present - m_demand);
    const bool hasEnded = m_demand > 0 && (now - m_lastArrival).count() / msPerSecond * m_demand > missingOperations;
    if (hasEnded || (m_demand < minDemand && now - m_lastArrival > idleTime)) {
        m_demand = 0;
        m_samples = 0;
    }
    m_arrivals = 0;
    m_sampledAt = now;
    return isChanged || hasEnded;
}

double OperationAllowance::demand(Instant now) const
{
    // Shortly after a sample a few arrivals would look like a high rate.
    const double seconds = std::max(minSampleTime, now - m_sampledAt).count() / msPerSecond;
    const double expected = m_demand * seconds;
    const bool isRising = m_arrivals - expected > changeThreshold(expected);
    return isRising ? m_arrivals / seconds : m_demand;
}

bool OperationAllowance::apply(const QuotaAnswer::Entry& entry, uint64_t coordinator, Instant sentAt, Instant now)
{
    if (coordinator == m_coordinator && entry.number <= m_number)
        return false;
    refill(now);
    const bool isSmaller = entry.share.amount < m_share.amount;
    if (coordinator != m_coordinator)
        m_returned = 0;
    m_coordinator = coordinator;
    m_number = entry.number;
    m_appliedAt = now;
    m_freeRate = entry.freeRate;
    m_share = entry.share;
    // Counted from the report, so that the share ends here before the coordinator lends it again.
    m_shareUntil = sentAt + ShareLender::Rules().validity;
    const double kept = std::min(m_level, m_share.depth);
    m_returned += m_level - kept;
    m_level = kept + entry.units;
    m_unitsUntil = now + unitValidity;
    if (entry.isOverLimit) {
        if (m_shortSince == Instant() || now - m_shortAt > shortageEnd)
            m_shortSince = now;
        m_shortAt = now;
    } else if (entry.units > 0) {
        m_shortSince = {};
        m_shortUntil = {};
    }
    return isSmaller;
}

void OperationAllowance::keep(uint64_t number, uint64_t coordinator, Instant sentAt, Instant now)
{
    refill(now);
    if (coordinator != m_coordinator || number != m_number || now >= m_shareUntil)
        return;
    m_shareUntil = std::max(m_shareUntil, sentAt + ShareLender::Rules().validity);
    m_appliedAt = now;
}

QuotaReport::Entry OperationAllowance::report(const OrganisationId& organisation, uint64_t coordinator, Instant now) const
{
    QuotaReport::Entry entry;
    entry.organisation = organisation;
    entry.demand = demand(now);
    entry.held = share(now);
    entry.heldFor = std::max(Milliseconds(0), m_shareUntil - now);
    entry.waiting = static_cast<double>(waiters.size());
    entry.confirmed = coordinator == m_coordinator ? m_number : 0;
    entry.returned = coordinator == m_coordinator ? m_returned : 0;
    return entry;
}

void OperationAllowance::refuseForAWhile(Instant now, std::mt19937_64& random)
{
    m_shortUntil = now + Milliseconds(uniform(random, minRefusalMs, maxRefusalMs));
}

// Callers get successive slots, one for each unit that the allowance yields.
Milliseconds OperationAllowance::nextRetry(Instant now, double limitPerSecond, std::mt19937_64& random)
{
    ++refused;
    // A daemon without an allowance may find a unit anywhere in the fleet.
    constexpr double partOfLimit = 0.1;
    const double rate = std::max({ share(now).amount, m_freeRate, limitPerSecond * partOfLimit });
    const double interval = rate > 0 ? msPerSecond / rate : maxRetry.count();
    constexpr double lowJitter = 0.5;
    constexpr double highJitter = 1.5;
    m_retrySlot = std::max(m_retrySlot, now) + Milliseconds(interval * uniform(random, lowJitter, highJitter));
    if (m_retrySlot - now > maxRetry)
        m_retrySlot = now + maxRetry * uniform(random, lowJitter, 1);
    return std::max(minRetry, m_retrySlot - now);
}

bool OperationAllowance::dropIfIdle(Instant now)
{
    if (m_demand > 0 || !waiters.empty() || now - m_lastArrival <= idleTime)
        return false;
    m_share = {};
    m_shareUntil = {};
    m_level = 0;
    m_isIdle = true;
    return true;
}

}
