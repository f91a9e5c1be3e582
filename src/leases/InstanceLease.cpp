#include "leases/InstanceLease.h"

#include "leases/Epoch.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// Renewal interval of a small fleet.
    constexpr Milliseconds minRenewInterval { 1200 };
    /// Minimum duration of a lease. During a platform outage daemons keep using their primaries until their leases expire, and
    /// losing the primaries affects every caller. On the other hand, a daemon that crashes delays a change of primary until its
    /// lease expires, but only if a change is due at that time.
    constexpr Milliseconds minLeaseDuration { 6000 };
    /// Limits all daemons together to 40 renewals per second, one thirtieth of the calls that a large platform allows.
    constexpr Milliseconds renewIntervalPerDaemon { 25 };
    /// The largest fleets exceed 40 renewals per second because of this limit. It ensures that a crashed daemon delays a change
    /// of primary by at most 15 s, since a change must complete within 20 s.
    constexpr Milliseconds maxRenewInterval { 4500 };
    /// Duration of a lease in renewal intervals, unless minLeaseDuration is longer. Two renewals can be missed before the lease
    /// expires.
    constexpr double renewIntervalsPerLease = 3.3;
    constexpr Milliseconds retryDelay { 250 };

}

InstanceLease::InstanceLease(EventLoop& loop, PlatformRows& platform, InstanceId instance, std::string incarnation, PeerEndpoint addresses)
    : m_loop(loop)
    , m_platform(platform)
    , m_instance(std::move(instance))
    , m_incarnation(std::move(incarnation))
    , m_addresses(std::move(addresses))
{
}

InstanceLease::~InstanceLease()
{
    m_loop.cancel(m_timer);
}

void InstanceLease::start()
{
    readInitialState();
}

Milliseconds InstanceLease::renewInterval() const
{
    return std::clamp(renewIntervalPerDaemon * m_daemonCount, minRenewInterval, maxRenewInterval);
}

Milliseconds InstanceLease::duration() const
{
    return std::max(minLeaseDuration, renewInterval() * renewIntervalsPerLease);
}

bool InstanceLease::isValid() const
{
    return !m_isReleased && m_loop.now() < m_validUntil;
}

void InstanceLease::confirmEpoch(RowVersion version)
{
    if (version <= m_epoch)
        return;
    m_epoch = version;
    renew();
}

// Reads the platform's clock, and the version of the row that an earlier process of this instance may have left.
void InstanceLease::readInitialState()
{
    const Instant sentAt = m_loop.now();
    m_platform.readAll(leaseTable, [this, sentAt, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<RowsAnswer>& answer) {
        if (alive.expired())
            return;
        if (!answer.ok())
            return scheduleRenewal(retryDelay);
        setPlatformTime(answer->platformTime, sentAt);
        for (const auto& it : answer->rows) {
            if (it.key == m_instance.value())
                m_rowVersion = it.version;
        }
        renew();
    });
}

void InstanceLease::setPlatformTime(Instant platformTime, Instant sentAt)
{
    m_platformTime = platformTime;
    m_platformTimeRequestedAt = sentAt;
}

void InstanceLease::scheduleRenewal(Milliseconds delay)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(delay, [this] {
        m_timer = TimerId::None;
        reportValidity();
        if (m_platformTime)
            renew();
        else
            readInitialState();
    });
}

// Also expects the row's own version, so that a renewal that the platform applies late cannot overwrite a newer row.
void InstanceLease::renew()
{
    if (m_isReleased || !m_platformTime)
        return;
    if (m_isRenewing) {
        m_isRenewalPending = true;
        return;
    }
    m_isRenewing = true;
    const Instant sentAt = m_loop.now();
    const Instant requestedAt = *m_platformTime + (sentAt - m_platformTimeRequestedAt);
    const Milliseconds duration = this->duration();
    RowsTransaction transaction;
    transaction.expected.push_back({ controlTable, epochKey, m_epoch });
    transaction.expected.push_back({ leaseTable, m_instance.value(), m_rowVersion });
    transaction.writes.push_back({ leaseTable, m_instance.value(), encodeLeaseRow({ m_incarnation, requestedAt, duration, m_addresses, m_sessionCounter ? m_sessionCounter() : 0 }) });
    m_platform.transact(transaction, [this, sentAt, duration, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<TransactionAnswer>& answer) {
        if (!alive.expired())
            applyRenewalAnswer(answer, sentAt, duration);
    });
}

void InstanceLease::applyRenewalAnswer(const absl::StatusOr<TransactionAnswer>& answer, Instant sentAt, Milliseconds duration)
{
    m_isRenewing = false;
    if (!answer.ok())
        return scheduleRenewal(retryDelay);
    setPlatformTime(answer->platformTime, sentAt);
    if (answer->isApplied) {
        m_rowVersion = answer->version;
        m_validUntil = std::max(m_validUntil, sentAt + duration);
        reportValidity();
        if (std::exchange(m_isRenewalPending, false))
            return renew();
        return scheduleRenewal(renewInterval());
    }
    bool isRowChanged = true;
    RowVersion rowVersion;
    for (const auto& it : answer->rows) {
        if (it.table == leaseTable && it.key == m_instance.value() && !it.isDeleted)
            rowVersion = it.version;
    }
    isRowChanged = rowVersion != m_rowVersion;
    m_rowVersion = rowVersion;
    // This daemon's row has changed if, for example, an earlier renewal was applied but its answer was lost. Then the renewal is
    // repeated at once with the row's new version. If only the epoch row has changed, renewals fail until this daemon has
    // confirmed the epoch, so it retries after a delay, or at once if another renewal was requested meanwhile.
    if (isRowChanged || std::exchange(m_isRenewalPending, false))
        return renew();
    scheduleRenewal(retryDelay);
}

void InstanceLease::reportValidity()
{
    if (isValid() == m_wasReportedValid)
        return;
    m_wasReportedValid = isValid();
    if (m_onChange)
        m_onChange(m_wasReportedValid);
}

void InstanceLease::release(std::function<void()> done)
{
    m_isReleased = true;
    m_loop.cancel(m_timer);
    RowsTransaction transaction;
    transaction.expected.push_back({ leaseTable, m_instance.value(), m_rowVersion });
    transaction.removals.push_back({ leaseTable, m_instance.value() });
    m_platform.transact(transaction, [done = std::move(done)](const absl::StatusOr<TransactionAnswer>&) { done(); });
}

}
