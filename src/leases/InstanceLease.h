#pragma once

#include "base/EventLoop.h"
#include "leases/LeaseRow.h"
#include "platform_ports/PlatformPorts.h"
#include "relay/PrimaryLease.h"

#include <functional>
#include <memory>
#include <optional>

namespace parsleypaddle {

/// This daemon's lease on the primaries of all groups, stored as one row of the lease table.
///
/// Each renewal expects the epoch row to have the version that this daemon has confirmed. A change of primary begins by
/// writing the epoch row, so no daemon can renew its lease before it has stopped using that primary. The change waits only
/// for leases that were last renewed before the epoch row was written and have not expired.
class InstanceLease final : public PrimaryLease {
public:
    InstanceLease(EventLoop&, PlatformRows&, InstanceId, std::string incarnation, PeerEndpoint addresses);
    ~InstanceLease() override;

    void start();

    bool isValid() const override;

    /// Confirms that this daemon no longer uses any primary whose change had begun by `version` of the epoch row, and
    /// renews the lease at once, or after the renewal in progress. Has no effect if that version or a later one was confirmed
    /// before.
    void confirmEpoch(RowVersion version);

    /// Invalidates the lease and requests that its row be deleted, which the platform rejects if a renewal in progress has changed
    /// the row. To be called when this daemon no longer uses any primary. Calls `done` when the platform has answered or the call
    /// has failed.
    void release(std::function<void()> done);

    const InstanceId& instance() const { return m_instance; }
    const std::string& incarnation() const { return m_incarnation; }

    /// Sets the number of daemons that renew leases. The renewal interval grows with it, up to a limit, to reduce the load
    /// on the platform.
    void setDaemonCount(uint32_t daemons) { m_daemonCount = daemons; }

    /// Sets the function that returns the number of callers' sessions. It is called at each renewal.
    void setSessionCounter(std::function<uint32_t()> callback) { m_sessionCounter = std::move(callback); }

    /// Sets the function that is called when the lease becomes valid and when it has expired. An expiry is detected only when a
    /// renewal is due or answered, so the call may come later than the expiry. release() itself does not call it.
    void onValidityChanged(std::function<void(bool isValid)> callback) { m_onChange = std::move(callback); }

private:
    void readInitialState();
    void renew();
    void scheduleRenewal(Milliseconds);
    void applyRenewalAnswer(const absl::StatusOr<TransactionAnswer>&, Instant sentAt, Milliseconds duration);
    void setPlatformTime(Instant platformTime, Instant sentAt);
    void reportValidity();
    Milliseconds renewInterval() const;
    Milliseconds duration() const;

    EventLoop& m_loop;
    PlatformRows& m_platform;
    InstanceId m_instance;
    std::string m_incarnation;
    PeerEndpoint m_addresses;
    /// The platform's clock as of its last answer. `m_platformTimeRequestedAt` is the local time at which that call was sent,
    /// so it is not later than the moment at which the platform read its clock.
    std::optional<Instant> m_platformTime;
    Instant m_platformTimeRequestedAt;
    RowVersion m_rowVersion;
    RowVersion m_epoch;
    Instant m_validUntil;
    uint32_t m_daemonCount { 1 };
    bool m_wasReportedValid { false };
    bool m_isRenewing { false };
    bool m_isRenewalPending { false };
    bool m_isReleased { false };
    TimerId m_timer { TimerId::None };
    std::function<void(bool)> m_onChange;
    std::function<uint32_t()> m_sessionCounter;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
