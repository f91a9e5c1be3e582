#pragma once

#include "homes/ConnectionShare.h"
#include "homes/GroupHome.h"
#include "homes/HomeCall.h"

namespace parsleypaddle {

/// Decides from what is known of a target whether a call may be taken in, before it is queued.
class AdmissionCheck {
public:
    AdmissionCheck(const EventLoop&, GroupHome&, TargetId, const HomeSettings&);

    /// Refuses a call that could not be served, as not run: DeadlinePassed, TargetLeaving, Overloaded (too many open
    /// transactions), NoPrimary, TargetUnreachable.
    absl::Status check(const HomeCall&, size_t openTransactions, TargetShare) const;

    /// Whether the primary has to be confirmed by a majority before the call is taken in: it may have been replaced
    /// since the last time.
    bool needsConfirmation(const HomeCall&) const;

    /// How the call is refused when that confirmation cannot be had.
    absl::Status unconfirmed(const HomeCall&) const;

private:
    bool isPrimary() const { return m_group.view().primary == m_target; }
    bool isSuspect() const;

    const EventLoop& m_loop;
    GroupHome& m_group;
    TargetId m_target;
    const HomeSettings& m_settings;
};

/// Whether the call is a step of a transaction that is already open, and runs on the connection it holds.
bool isPinned(const HomeCall&);

/// Whether the request is that step of a transaction.
bool isStep(const StatementRequest&, TransactionStep);

}
