#pragma once

#include "base/EventLoop.h"
#include "leases/GrantRegister.h"
#include "leases/LeaseRow.h"
#include "platform_ports/PlatformPorts.h"
#include "relay/PrimaryLease.h"

#include <functional>
#include <memory>
#include <optional>

namespace parsleypaddle {

/// This daemon's lease on the primaries of all groups. It is stored as one row of the lease table, or granted by another
/// daemon that holds such a row.
///
/// Each renewal of the row expects the epoch row to have the version that this daemon and all daemons with its grants have
/// confirmed. A change of primary begins by writing the epoch row, so no daemon can renew its lease before that primary is no
/// longer used under it. The change waits only for leases that were last renewed before the epoch row was written and have
/// not expired. A grant never lasts longer than the row under which it is given.
class InstanceLease final : public PrimaryLease {
public:
    /// How long a grant lasts at most. A holder whose subscriber has crashed waits this long before it renews its row after a change
    /// of primary. That is shorter than the rest of its own lease, so the other subscribers keep theirs.
    static constexpr Milliseconds grantDuration { 2500 };

    /// Longest duration of a lease.
    static constexpr Milliseconds maxDuration { 6600 };

    InstanceLease(EventLoop&, PlatformRows&, InstanceId, std::string incarnation, PeerEndpoint addresses);
    ~InstanceLease() override;

    /// Begins to hold a row. A row that an earlier process left behind is replaced, unless other daemons may hold grants under it;
    /// then this holds another row and deletes the earlier one when these grants have expired. Has no effect while a row is held.
    void start();
    /// Stops holding the row and requests its deletion. The lease then lasts as long as another daemon grants it. Must not be called
    /// while grants of this daemon last.
    void withdraw();
    /// Whether this daemon holds a row, or is about to. Only such daemons vote on a group's primary and carry out changes.
    bool holdsRow() const { return m_isHolding; }

    bool isValid() const override;
    LeaseState state() const override;

    /// Extends the lease to `until`, as granted by another daemon.
    void extendByGrant(Instant until);
    /// Ends what other daemons have granted.
    void dropGrant();
    /// Whether the lease is valid by this daemon's own row.
    bool isValidByRow() const { return !m_isReleased && m_loop.now() < m_validUntil; }
    /// When the lease by this daemon's own row ends. Other daemons take it for expired later than that.
    Instant rowValidUntil() const { return m_isReleased ? Instant() : m_validUntil; }

    /// Where a version of the epoch row was written.
    enum class EpochOrigin {
        /// In the present era of the platform.
        PresentEra,
        /// In an earlier one: the row was in the copy from which the platform has returned, or there is none. No change of primary goes
        /// on under it, so it need not be confirmed by the daemons with grants.
        Copy,
    };

    /// Confirms that this daemon no longer uses any primary whose change had begun by `version` of the epoch row, and renews the row as
    /// soon as all daemons with grants have confirmed it too. In a new era, the row is not renewed before a version of that era was
    /// confirmed: number 0 if there is no epoch row. Has no effect if that version or a later one was confirmed before.
    void confirmEpoch(RowVersion version, EpochOrigin = EpochOrigin::PresentEra);
    RowVersion confirmedEpoch() const { return m_epoch; }

    /// Adds a subscriber, which may be granted the lease once the row says that there are grants. Has little effect if it was added
    /// before.
    void addMember(const LeaseMember&, const std::string& incarnation);
    /// Removes a subscriber that no longer uses its grant.
    void removeMember(const InstanceId&, const std::string& incarnation);
    /// Takes a subscriber's report and extends its grant. Returns for how long from now; 0 if it must not be extended, because
    /// the row is not valid, the subscriber has not confirmed the latest changes, or it was not added or has expired since.
    Milliseconds grant(const InstanceId&, const std::string& incarnation, RowVersion epoch, uint32_t sessions);
    /// Time since the platform last answered a call about the row; unset before the first answer.
    std::optional<Milliseconds> platformAge() const;
    /// The platform's clock as of its last answer about the row; unset before the first answer.
    std::optional<Instant> platformTime() const { return m_platformTime; }
    /// Bounds of what the platform's clock says now; unset before the first answer.
    std::optional<Instant> earliestPlatformTime() const;
    std::optional<Instant> latestPlatformTime() const;
    bool hasGrants() const { return m_grants.hasGrants(m_loop.now()); }

    /// Invalidates the lease and requests that its row be deleted, which the platform rejects if a renewal in progress has changed
    /// the row. The row is left to expire while grants last. To be called when this daemon no longer uses any primary. Calls `done`
    /// when the platform has answered or the call has failed.
    void release(std::function<void()> done);

    const InstanceId& instance() const { return m_instance; }
    const std::string& incarnation() const { return m_incarnation; }
    const PeerEndpoint& addresses() const { return m_addresses; }
    uint32_t sessionCount() const { return m_sessionCounter ? m_sessionCounter() : 0; }

    /// Sets the number of daemons that hold rows. The renewal interval grows with it, up to a limit, to reduce the load
    /// on the platform.
    void setHolderCount(uint32_t holders) { m_holderCount = holders; }

    /// Sets the function that returns the number of callers' sessions. It is called at each renewal.
    void setSessionCounter(std::function<uint32_t()> callback) { m_sessionCounter = std::move(callback); }

    /// Sets the function that is called when the lease becomes valid and when it has expired. An expiry is detected only when a
    /// renewal is due or answered, so the call may come later than the expiry. release() itself does not call it.
    void onValidityChanged(std::function<void(bool isValid)> callback) { m_onChange = std::move(callback); }
    /// Sets the function that is called when this daemon has confirmed a version of the epoch row.
    void onEpochConfirmed(std::function<void()> callback) { m_onEpochConfirmed = std::move(callback); }

    /// Why the platform did not apply a renewal: it holds other rows than this daemon expects.
    struct RenewalRejection {
        RowVersion expectedEpoch;
        RowVersion epoch;
        RowVersion expectedRow;
        RowVersion row;
    };
    /// Sets the function that is called for the first rejection after a renewal that was applied.
    void onRenewalRejected(std::function<void(const RenewalRejection&)> callback) { m_onRenewalRejected = std::move(callback); }

    /// Sets the function that is called at each rejection of a renewal whose epoch has passed, with the present version of the epoch row and
    /// the time at which the renewal was sent. The control table has changed, and this daemon may not have received the change.
    void onEpochPassed(std::function<void(RowVersion epoch, Instant sentAt)> callback) { m_onEpochPassed = std::move(callback); }

    /// Calls onValidityChanged's function if the validity has changed.
    void reportValidity();

private:
    void readInitialState();
    void applyInitialState(const RowsAnswer&);
    /// Deletes a row of an earlier process once the grants under it have expired.
    void deleteLater(const StoredRow&);
    void renew();
    bool isWaitingForMembers();
    void scheduleRenewal(Milliseconds);
    void applyRejection(const TransactionAnswer&, Instant sentAt);
    void applyRenewalAnswer(const absl::StatusOr<TransactionAnswer>&, Instant sentAt, Milliseconds duration, RowVersion epoch);
    bool mustConfirmEra() const;
    void deleteRow(std::function<void()> done);
    void setPlatformTime(Instant platformTime, Instant sentAt);
    /// Begins a new span of connectedness if no call about the row was answered for some time.
    void noteInterruption(Instant platformTime);
    Milliseconds renewInterval() const;
    /// Time between two answers after which the connection to the platform counts as interrupted.
    Milliseconds maxAnswerInterval() const;
    Milliseconds duration() const;

    EventLoop& m_loop;
    PlatformRows& m_platform;
    InstanceId m_instance;
    std::string m_incarnation;
    PeerEndpoint m_addresses;
    /// Key of this daemon's row.
    std::string m_key;
    GrantRegister m_grants;
    /// The platform's clock as of its last answer. `m_platformTimeRequestedAt` is the local time at which that call was sent,
    /// so it is not later than the moment at which the platform read its clock.
    std::optional<Instant> m_platformTime;
    Instant m_platformTimeRequestedAt;
    Instant m_platformTimeReceivedAt;
    /// Since when calls about the row have been answered without an interruption, by the platform's clock.
    Instant m_connectedSince;
    RowVersion m_rowVersion;
    RowVersion m_epoch;
    /// What daemons with grants have to confirm before the row is renewed.
    RowVersion m_memberEpoch;
    /// The latest era that the platform's answers about the row have told.
    PlatformEra m_era;
    /// End of the lease by the row, and by the grants of other daemons.
    Instant m_validUntil;
    Instant m_grantedUntil;
    uint32_t m_holderCount { 1 };
    bool m_isHolding { false };
    /// Whether the row, as last written, says that other daemons may hold grants.
    bool m_areGrantsAnnounced { false };
    bool m_wasReportedValid { false };
    bool m_isRenewing { false };
    bool m_isRenewalPending { false };
    bool m_isReleased { false };
    TimerId m_timer { TimerId::None };
    std::function<void(bool)> m_onChange;
    std::function<void()> m_onEpochConfirmed;
    std::function<void(const RenewalRejection&)> m_onRenewalRejected;
    std::function<void(RowVersion, Instant)> m_onEpochPassed;
    bool m_isRejectionReported { false };
    std::function<uint32_t()> m_sessionCounter;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
