#pragma once

#include "base/Time.h"
#include "quotas/OperationQuota.h"
#include "quotas/QuotaMessages.h"

#include <deque>
#include <random>

namespace parsleypaddle {

/// What one daemon may admit of one organisation's operations, and how many its callers ask for. Does no I/O and reads no clock.
class OperationAllowance {
public:
    struct Waiter {
        OperationQuota::Decided decided;
        Instant since;
    };

    explicit OperationAllowance(Instant now)
        : m_refilledAt(now)
        , m_sampledAt(now)
        , m_lastArrival(now)
    {
    }

    void noteArrival(Instant now);
    /// Consumes one unit. Returns false if there is none.
    bool take(Instant now);
    /// Updates the demand. Returns whether it has changed so much that the coordinator should know at once.
    bool sample(Instant now);

    /// Applies what a coordinator has answered to a report that was sent at `sentAt`. Returns whether the share has become smaller.
    bool apply(const QuotaAnswer::Entry&, uint64_t coordinator, Instant sentAt, Instant now);
    /// Makes the share last longer, if it is still the one that a report sent at `sentAt` confirmed.
    void keep(uint64_t number, uint64_t coordinator, Instant sentAt, Instant now);
    QuotaReport::Entry report(const OrganisationId&, uint64_t coordinator, Instant now) const;

    /// Whether the organisation is known to be over its limit.
    bool isShort(Instant now) const { return now < m_shortUntil; }
    /// Whether operations that got no unit should go on waiting, because the shortage has just begun.
    bool mayWait(Instant now) const { return m_shortSince == Instant() || now - m_shortSince < shortagePatience; }
    /// Notes a shortage; new operations are refused for a short time.
    void refuseForAWhile(Instant now, std::mt19937_64&);
    /// The delay after which the next refused caller should try again.
    Milliseconds nextRetry(Instant now, double limitPerSecond, std::mt19937_64&);

    /// Drops the share when the organisation has had no operations for some time. Returns whether it is idle.
    bool dropIfIdle(Instant now);
    bool isIdle() const { return m_isIdle; }
    bool needsFrequentReports(Instant now) const { return now < m_shareUntil || m_demand >= ShareLender::Rules().minAmount; }

    double demand(Instant now) const;
    LentShare share(Instant now) const { return now < m_shareUntil ? m_share : LentShare {}; }
    /// Age of what the coordinator said last.
    Milliseconds age(Instant now) const { return now - m_appliedAt; }

    std::deque<Waiter> waiters;
    /// When the coordinator was last asked for units.
    Instant askedAt;
    uint64_t admitted { 0 };
    uint64_t refused { 0 };

private:
    static constexpr Milliseconds shortagePatience { 300 };
    /// A shortage has ended when the coordinator has not told of it for this long.
    static constexpr Milliseconds shortageEnd { 1500 };

    void refill(Instant now);

    double m_level { 0 };
    LentShare m_share;
    Instant m_shareUntil;
    Instant m_unitsUntil;
    Instant m_refilledAt;
    uint64_t m_coordinator { 0 };
    uint64_t m_number { 0 };
    /// Units that the coordinator's shares have yielded and that did not fit.
    double m_returned { 0 };
    Instant m_appliedAt;
    double m_freeRate { 0 };

    double m_demand { 0 };
    uint32_t m_arrivals { 0 };
    /// Samples since the demand has changed.
    uint32_t m_samples { 0 };
    Instant m_sampledAt;
    Instant m_lastArrival;
    bool m_isIdle { true };

    Instant m_shortSince;
    Instant m_shortAt;
    Instant m_shortUntil;
    Instant m_retrySlot;
};

}
