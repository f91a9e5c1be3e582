#pragma once

#include "base/EventLoop.h"
#include "leases/LeaseRow.h"
#include "platform_ports/PlatformPorts.h"
#include "relay/PrimaryLease.h"

#include <functional>
#include <memory>
#include <optional>

namespace parsleypaddle {

/// This daemon's lease on every primary that it believes in, kept as a row of its own.
///
/// The row is renewed on the condition that no change of a primary has begun that this daemon has not heard of. Whoever
/// replaces a primary first moves the epoch row; a lease that was renewed since, or has ended, stands in nobody's way.
class InstanceLease final : public PrimaryLease {
public:
    InstanceLease(EventLoop&, PlatformRows&, InstanceId, std::string incarnation, PeerAddresses own);
    ~InstanceLease() override;

    void start();

    bool isValid() const override;

    /// Every primary that was to be given up by `version` of the epoch row has been: renews at once.
    void confirmEpoch(RowVersion version);

    /// Removes the row: this daemon uses no primary any more.
    void release(std::function<void()> done);

    const InstanceId& instance() const { return m_instance; }
    const std::string& incarnation() const { return m_incarnation; }

    /// Daemons that renew leases: the more there are, the less often each does, so that the platform is not called more.
    void setDaemons(uint32_t daemons) { m_daemons = daemons; }

    /// Asked at each renewal for the number of callers' sessions.
    void onCountSessions(std::function<uint32_t()> callback) { m_countSessions = std::move(callback); }

    /// Calls back when the lease was lost or regained.
    void onChange(std::function<void(bool isValid)> callback) { m_onChange = std::move(callback); }

private:
    void readOwn();
    void renew();
    void schedule(Milliseconds);
    void renewed(const absl::StatusOr<TransactionAnswer>&, Instant sentAt, Milliseconds length);
    void noteTime(Instant platformTime, Instant sentAt);
    void noteValidity();
    Milliseconds renewInterval() const;
    Milliseconds length() const;

    EventLoop& m_loop;
    PlatformRows& m_platform;
    InstanceId m_instance;
    std::string m_incarnation;
    PeerAddresses m_addresses;
    /// The platform's clock at one moment, and a moment of our own that is not after it.
    std::optional<Instant> m_platformTime;
    Instant m_platformTimeAskedAt;
    RowVersion m_rowVersion;
    RowVersion m_epoch;
    Instant m_validUntil;
    uint32_t m_daemons { 1 };
    bool m_wasValid { false };
    bool m_isRenewing { false };
    bool m_isDueAgain { false };
    bool m_isReleased { false };
    TimerId m_timer { TimerId::None };
    std::function<void(bool)> m_onChange;
    std::function<uint32_t()> m_countSessions;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
