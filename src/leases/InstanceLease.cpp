#include "leases/InstanceLease.h"

#include "leases/Epoch.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// The interval of a small fleet.
    constexpr Milliseconds shortestInterval { 1200 };
    /// The longest outage of the platform that leaves primaries in use, which hits every caller; against that, a daemon that
    /// went away without a word delays a change of primary so long, and only where one is due at that time.
    constexpr Milliseconds shortestLease { 6000 };
    /// All daemons together renew 40 times a second, a thirtieth of the calls that a large platform allows.
    constexpr Milliseconds intervalForEach { 25 };
    /// In the largest fleets they renew more often, so that a daemon that went away delays a change of primary by 15 s at most: a change
    /// has to be done within 20 s.
    constexpr Milliseconds longestInterval { 4500 };
    /// In a large fleet two renewals may fail before the lease ends.
    constexpr double intervalsOfLease = 3.3;
    constexpr Milliseconds retryPause { 250 };

}

InstanceLease::InstanceLease(EventLoop& loop, PlatformRows& platform, InstanceId instance, std::string incarnation, PeerAddresses own)
    : m_loop(loop)
    , m_platform(platform)
    , m_instance(std::move(instance))
    , m_incarnation(std::move(incarnation))
    , m_addresses(std::move(own))
{
}

InstanceLease::~InstanceLease()
{
    m_loop.cancel(m_timer);
}

void InstanceLease::start()
{
    readOwn();
}

Milliseconds InstanceLease::renewInterval() const
{
    return std::clamp(intervalForEach * m_daemons, shortestInterval, longestInterval);
}

Milliseconds InstanceLease::length() const
{
    return std::max(shortestLease, renewInterval() * intervalsOfLease);
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

// The first call brings the platform's clock, and the row that an earlier process of this instance left.
void InstanceLease::readOwn()
{
    const Instant sentAt = m_loop.now();
    m_platform.readAll(leaseTable, [this, sentAt, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<RowsAnswer>& answer) {
        if (alive.expired())
            return;
        if (!answer.ok())
            return schedule(retryPause);
        noteTime(answer->platformTime, sentAt);
        for (const auto& it : answer->rows) {
            if (it.key == m_instance.value())
                m_rowVersion = it.version;
        }
        renew();
    });
}

void InstanceLease::noteTime(Instant platformTime, Instant sentAt)
{
    m_platformTime = platformTime;
    m_platformTimeAskedAt = sentAt;
}

void InstanceLease::schedule(Milliseconds delay)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(delay, [this] {
        m_timer = TimerId::None;
        noteValidity();
        if (m_platformTime)
            renew();
        else
            readOwn();
    });
}

// The row's own version is a condition too: a renewal that the platform carries out late must not put back an older one.
void InstanceLease::renew()
{
    if (m_isReleased || !m_platformTime)
        return;
    if (m_isRenewing) {
        m_isDueAgain = true;
        return;
    }
    m_isRenewing = true;
    const Instant sentAt = m_loop.now();
    const Instant askedAt = *m_platformTime + (sentAt - m_platformTimeAskedAt);
    const Milliseconds length = this->length();
    RowsTransaction transaction;
    transaction.expected.push_back({ controlTable, epochKey, m_epoch });
    transaction.expected.push_back({ leaseTable, m_instance.value(), m_rowVersion });
    transaction.writes.push_back({ leaseTable, m_instance.value(), encodeLeaseRow({ m_incarnation, askedAt, length, m_addresses, m_countSessions ? m_countSessions() : 0 }) });
    m_platform.transact(transaction, [this, sentAt, length, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<TransactionAnswer>& answer) {
        if (!alive.expired())
            renewed(answer, sentAt, length);
    });
}

void InstanceLease::renewed(const absl::StatusOr<TransactionAnswer>& answer, Instant sentAt, Milliseconds length)
{
    m_isRenewing = false;
    if (!answer.ok())
        return schedule(retryPause);
    noteTime(answer->platformTime, sentAt);
    if (answer->isApplied) {
        m_rowVersion = answer->version;
        m_validUntil = std::max(m_validUntil, sentAt + length);
        noteValidity();
        if (std::exchange(m_isDueAgain, false))
            return renew();
        return schedule(renewInterval());
    }
    bool isOwnChanged = true;
    RowVersion own;
    for (const auto& it : answer->rows) {
        if (it.table == leaseTable && it.key == m_instance.value() && !it.isDeleted)
            own = it.version;
    }
    isOwnChanged = own != m_rowVersion;
    m_rowVersion = own;
    // An earlier renewal whose answer was lost is no reason to wait; an epoch that is not confirmed yet is.
    if (isOwnChanged || std::exchange(m_isDueAgain, false))
        return renew();
    schedule(retryPause);
}

void InstanceLease::noteValidity()
{
    if (isValid() == m_wasValid)
        return;
    m_wasValid = isValid();
    if (m_onChange)
        m_onChange(m_wasValid);
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
