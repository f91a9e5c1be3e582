#include "leases/InstanceLease.h"

#include "leases/Epoch.h"
#include "leases/PlatformEraRow.h"

#include <algorithm>
#include <utility>

namespace parsleypaddle {

namespace {

    /// Renewal interval of a small fleet.
    constexpr Milliseconds minRenewInterval { 1200 };
    /// Minimum duration of a lease. During a platform outage daemons keep using their primaries until their leases expire, and
    /// losing the primaries affects every caller. On the other hand, a daemon that crashes delays a change of primary until its
    /// lease expires, but only if a change is due at that time.
    constexpr Milliseconds minLeaseDuration { 6000 };
    /// Limits all holders together to 10 renewals per second.
    constexpr Milliseconds renewIntervalPerHolder { 100 };
    /// A longer interval would delay a change of primary for longer when a holder has crashed.
    constexpr Milliseconds maxRenewInterval { 2000 };
    /// Duration of a lease in renewal intervals, unless minLeaseDuration is longer. Two renewals can be missed before the lease
    /// expires.
    constexpr double renewIntervalsPerLease = 3.3;
    static_assert(maxRenewInterval * renewIntervalsPerLease <= InstanceLease::maxDuration && minLeaseDuration <= InstanceLease::maxDuration);
    constexpr Milliseconds retryDelay { 250 };
    /// The connection to the platform counts as interrupted if no renewal was answered for this many intervals.
    constexpr double renewIntervalsPerInterruption = 1.5;
    /// The clocks of two instances run at the same rate within a few parts per thousand.
    constexpr Milliseconds grantClockDrift { 50 };
    /// Added to the platform's time for each unit of time since the platform last told it.
    constexpr double platformClockDrift = 0.005;

}

InstanceLease::InstanceLease(EventLoop& loop, PlatformRows& platform, InstanceId instance, std::string incarnation, PeerEndpoint addresses)
    : m_loop(loop)
    , m_platform(platform)
    , m_instance(std::move(instance))
    , m_incarnation(std::move(incarnation))
    , m_addresses(std::move(addresses))
    , m_key(leaseKey(m_instance))
{
}

InstanceLease::~InstanceLease()
{
    m_loop.cancel(m_timer);
}

void InstanceLease::start()
{
    if (std::exchange(m_isHolding, true))
        return;
    readInitialState();
}

void InstanceLease::withdraw()
{
    if (!std::exchange(m_isHolding, false))
        return;
    m_loop.cancel(m_timer);
    m_validUntil = Instant();
    m_areGrantsAnnounced = false;
    // A renewal in progress deletes the row when it is answered.
    if (!m_isRenewing)
        deleteRow([] {});
}

void InstanceLease::deleteRow(std::function<void()> done)
{
    if (m_rowVersion == RowVersion())
        return done();
    RowsTransaction transaction;
    transaction.expected.push_back({ leaseTable, m_key, m_rowVersion });
    transaction.removals.push_back({ leaseTable, m_key });
    m_rowVersion = RowVersion();
    m_platform.transact(transaction, [done = std::move(done)](const absl::StatusOr<TransactionAnswer>&) { done(); });
}

Milliseconds InstanceLease::renewInterval() const
{
    return std::clamp(renewIntervalPerHolder * m_holderCount, minRenewInterval, maxRenewInterval);
}

Milliseconds InstanceLease::maxAnswerInterval() const
{
    return renewInterval() * renewIntervalsPerInterruption;
}

Milliseconds InstanceLease::duration() const
{
    return std::max(minLeaseDuration, renewInterval() * renewIntervalsPerLease);
}

bool InstanceLease::isValid() const
{
    return !m_isReleased && m_loop.now() < std::max(m_validUntil, m_grantedUntil);
}

LeaseState InstanceLease::state() const
{
    if (m_isReleased)
        return { Instant(), LeaseSource::Row, m_epoch };
    return { std::max(m_validUntil, m_grantedUntil), m_grantedUntil > m_validUntil ? LeaseSource::Grant : LeaseSource::Row, m_epoch };
}

void InstanceLease::extendByGrant(Instant until)
{
    m_grantedUntil = std::max(m_grantedUntil, until);
    reportValidity();
}

void InstanceLease::dropGrant()
{
    m_grantedUntil = Instant();
    reportValidity();
}

void InstanceLease::confirmEpoch(RowVersion version, EpochOrigin origin)
{
    if (version <= m_epoch)
        return;
    m_epoch = version;
    if (origin == EpochOrigin::PresentEra)
        m_memberEpoch = version;
    renew();
    if (m_onEpochConfirmed)
        m_onEpochConfirmed();
}

void InstanceLease::addMember(const LeaseMember& member, const std::string& incarnation)
{
    m_grants.add(member, incarnation, m_loop.now());
    if (!m_areGrantsAnnounced)
        renew();
}

void InstanceLease::removeMember(const InstanceId& instance, const std::string& incarnation)
{
    m_grants.remove(instance, incarnation);
    if (m_isRenewalPending)
        renew();
}

Milliseconds InstanceLease::grant(const InstanceId& instance, const std::string& incarnation, RowVersion epoch, uint32_t sessions)
{
    const Instant now = m_loop.now();
    m_grants.update(instance, incarnation, epoch, sessions, now);
    Milliseconds granted;
    if (m_isHolding && !m_isReleased && m_areGrantsAnnounced && epoch >= m_epoch)
        granted = std::max(Milliseconds(0), std::min(grantDuration, m_validUntil - now));
    if (granted > Milliseconds(0) && !m_grants.grant(instance, incarnation, now + granted + grantClockDrift))
        granted = Milliseconds(0);
    if (m_isRenewalPending)
        renew();
    return granted;
}

// Reads the platform's clock, and the version of the row that an earlier process of this instance may have left.
void InstanceLease::readInitialState()
{
    const Instant sentAt = m_loop.now();
    m_platform.readAll(leaseTable, [this, sentAt, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<RowsAnswer>& answer) {
        if (alive.expired() || !m_isHolding)
            return;
        if (!answer.ok())
            return scheduleRenewal(retryDelay);
        setPlatformTime(answer->platformTime, sentAt);
        m_era = std::max(m_era, answer->version.era());
        applyInitialState(*answer);
    });
}

void InstanceLease::applyInitialState(const RowsAnswer& answer)
{
    m_key = leaseKey(m_instance);
    m_rowVersion = RowVersion();
    for (const auto& it : answer.rows) {
        if (leaseInstance(it.key) != m_instance)
            continue;
        const auto row = decodeLeaseRow(it.value);
        const bool isEarlier = row.ok() && row->incarnation != m_incarnation;
        // The process before this one was connected until just now.
        if (isEarlier && answer.platformTime - row->requestedAt <= maxAnswerInterval())
            m_connectedSince = row->connectedSince;
        const bool mayHaveGrants = isEarlier && row->hasGrants && !isExpired(*row, answer.platformTime);
        if (it.key == m_key && mayHaveGrants)
            m_key = leaseKey(m_instance, m_incarnation);
        else if (it.key == m_key)
            m_rowVersion = it.version;
        if (it.key != m_key && isEarlier)
            deleteLater(it);
    }
    renew();
}

// The earlier process had ended before this one started, so its last grant expires within the duration of a grant from now.
void InstanceLease::deleteLater(const StoredRow& row)
{
    m_loop.after(grantDuration + grantClockDrift * 2, [this, key = row.key, version = row.version, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.expired())
            return;
        RowsTransaction transaction;
        transaction.expected.push_back({ leaseTable, key, version });
        transaction.removals.push_back({ leaseTable, key });
        m_platform.transact(transaction, [](const absl::StatusOr<TransactionAnswer>&) {});
    });
}

void InstanceLease::setPlatformTime(Instant platformTime, Instant sentAt)
{
    noteInterruption(platformTime);
    m_platformTime = platformTime;
    m_platformTimeRequestedAt = sentAt;
    m_platformTimeReceivedAt = m_loop.now();
}

void InstanceLease::noteInterruption(Instant platformTime)
{
    if (!m_platformTime || m_loop.now() - m_platformTimeReceivedAt > maxAnswerInterval())
        m_connectedSince = platformTime;
}

std::optional<Instant> InstanceLease::earliestPlatformTime() const
{
    if (!m_platformTime)
        return std::nullopt;
    return *m_platformTime + (m_loop.now() - m_platformTimeReceivedAt) * (1 - platformClockDrift);
}

std::optional<Instant> InstanceLease::latestPlatformTime() const
{
    if (!m_platformTime)
        return std::nullopt;
    return *m_platformTime + (m_loop.now() - m_platformTimeRequestedAt) * (1 + platformClockDrift);
}

std::optional<Milliseconds> InstanceLease::platformAge() const
{
    if (!m_platformTime)
        return std::nullopt;
    return m_loop.now() - m_platformTimeRequestedAt;
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

// Whether a daemon that has not confirmed the latest changes still holds a grant. If so, the renewal waits for it.
bool InstanceLease::isWaitingForMembers()
{
    const Instant now = m_loop.now();
    m_grants.expire(now);
    const auto until = m_grants.unconfirmedUntil(m_memberEpoch, now);
    if (!until)
        return false;
    m_isRenewalPending = true;
    scheduleRenewal(*until - now);
    return true;
}

// The epoch row of an earlier era may have the same number and mean other changes of primary. A process that has not read any does not
// use any primary yet.
bool InstanceLease::mustConfirmEra() const
{
    return m_epoch != RowVersion() && m_epoch.era() < m_era;
}

// Also expects the row's own version, so that a renewal that the platform applies late cannot overwrite a newer row.
void InstanceLease::renew()
{
    if (m_isReleased || !m_isHolding || !m_platformTime)
        return;
    if (m_isRenewing) {
        m_isRenewalPending = true;
        return;
    }
    if (mustConfirmEra()) {
        m_isRenewalPending = true;
        return scheduleRenewal(retryDelay);
    }
    if (isWaitingForMembers())
        return;
    m_isRenewalPending = false;
    m_isRenewing = true;
    const Instant sentAt = m_loop.now();
    // Must not be early, even if the platform was last heard from minutes ago and this daemon's clock is slow.
    const Instant requestedAt = *latestPlatformTime();
    // This may be the first call after an interruption that nothing else has shown.
    noteInterruption(requestedAt);
    // The row that is read may be this one, although its answer is lost, so it must not end before the lease that it renews.
    const Milliseconds duration = std::max(this->duration(), m_validUntil - sentAt);
    LeaseRow row { m_incarnation, requestedAt, duration, m_addresses, sessionCount() };
    row.members = m_grants.members();
    row.hasGrants = !m_grants.isEmpty();
    row.connectedSince = m_connectedSince;
    // No grant may be given while a row that denies it is on its way.
    m_areGrantsAnnounced = m_areGrantsAnnounced && row.hasGrants;
    RowsTransaction transaction;
    transaction.expected.push_back({ controlTable, epochKey, m_epoch });
    transaction.expected.push_back({ leaseTable, m_key, m_rowVersion });
    transaction.expected.push_back(eraFence(std::max(m_era, m_epoch.era())));
    transaction.writes.push_back({ leaseTable, m_key, encodeLeaseRow(row) });
    m_platform.transact(transaction, [this, sentAt, duration, epoch = m_epoch, hasGrants = row.hasGrants, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<TransactionAnswer>& answer) {
        if (alive.expired())
            return;
        if (answer.ok() && answer->isApplied && m_isHolding)
            m_areGrantsAnnounced = hasGrants;
        applyRenewalAnswer(answer, sentAt, duration, epoch);
    });
}

void InstanceLease::applyRenewalAnswer(const absl::StatusOr<TransactionAnswer>& answer, Instant sentAt, Milliseconds duration, RowVersion epoch)
{
    m_isRenewing = false;
    if (!answer.ok())
        return scheduleRenewal(retryDelay);
    setPlatformTime(answer->platformTime, sentAt);
    m_era = std::max(m_era, answer->version.era());
    if (answer->isApplied) {
        m_rowVersion = answer->version;
        m_isRejectionReported = false;
        if (!m_isHolding)
            return deleteRow([] {});
        // A renewal that the platform applied in a later era than that of the epoch confirms nothing there.
        if (epoch == RowVersion() || epoch.era() == answer->version.era())
            m_validUntil = std::max(m_validUntil, sentAt + duration);
        reportValidity();
        if (m_isRenewalPending)
            return renew();
        return scheduleRenewal(renewInterval());
    }
    applyRejection(*answer, sentAt);
}

void InstanceLease::applyRejection(const TransactionAnswer& answer, Instant sentAt)
{
    RowVersion rowVersion;
    RowVersion epoch;
    for (const auto& it : answer.rows) {
        if (it.table == leaseTable && it.key == m_key && !it.isDeleted)
            rowVersion = it.version;
        if (it.table == controlTable && it.key == epochKey && !it.isDeleted)
            epoch = it.version;
    }
    if (!std::exchange(m_isRejectionReported, true) && m_onRenewalRejected)
        m_onRenewalRejected({ m_epoch, epoch, m_rowVersion, rowVersion });
    if (epoch > m_epoch && m_onEpochPassed)
        m_onEpochPassed(epoch, sentAt);
    const bool isRowChanged = rowVersion != m_rowVersion;
    m_rowVersion = rowVersion;
    // This daemon's row has changed if, for example, an earlier renewal was applied but its answer was lost. Then the renewal is
    // repeated at once with the row's new version. If only the epoch row has changed, renewals fail until this daemon has
    // confirmed the epoch, so it retries after a delay, or at once if another renewal was requested meanwhile.
    if (isRowChanged || m_isRenewalPending)
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
    m_isHolding = false;
    m_loop.cancel(m_timer);
    if (hasGrants())
        return done();
    deleteRow(std::move(done));
}

}
