#pragma once

#include "homes/ConnectionShare.h"
#include "homes/GroupMonitor.h"
#include "homes/HomeCall.h"

namespace parsleypaddle {

/// Accepts or rejects a call before it is queued, by the state of its target and the number of open transactions.
class AdmissionCheck {
public:
    AdmissionCheck(const EventLoop&, GroupMonitor&, TargetId, const HomeSettings&);

    /// Returns an error for a call that cannot be served: DeadlinePassed, TargetLeaving, Overloaded (too many open
    /// transactions), NoPrimary, TargetUnreachable. A rejected call has not run. Steps of open transactions are checked for
    /// their deadline only.
    absl::Status check(const HomeCall&, size_t openTransactions, TargetShare) const;

    /// Whether a majority of the group must confirm the primary before the call is queued, because the last confirmation
    /// is too old and the primary may have been replaced since.
    bool needsConfirmation(const HomeCall&) const;

    /// The error for a call whose primary was not confirmed by a majority: TargetBehind for reads, else NoPrimary.
    absl::Status confirmationError(const HomeCall&) const;

private:
    bool isPrimary() const { return m_group.view().primary == m_target; }
    bool isSuspect() const;

    const EventLoop& m_loop;
    GroupMonitor& m_group;
    TargetId m_target;
    const HomeSettings& m_settings;
};

/// Whether the call is a step of an open transaction, and therefore runs on the connection that the transaction holds.
bool isInOpenTransaction(const HomeCall&);

/// Whether the request belongs to a transaction and is the given step of it.
bool isStep(const StatementRequest&, TransactionStep);

}
