#pragma once

#include "failover/LeaseMonitor.h"

#include <vector>

namespace parsleypaddle {

/// Use of a group's primary that has ended, according to the leases.
struct EndedUse {
    /// The version of the epoch row with which the change of primary began.
    RowVersion epoch;
    /// When it began, by the platform's clock; zero if unknown.
    Instant beganAt;
    /// Of the primary; empty if unknown.
    FailureDomainId primaryDomain;
};

/// The daemons that may have used the primary while neither they nor it could reach the platform; empty if there are none. The leases must be
/// released by all daemons.
///
/// While there are some, the platform's list may lack a target: one that was started on their side of a network partition can receive from the
/// primary, and commits that wait for it are acknowledged, but it cannot list itself.
std::vector<InstanceId> findDisconnectedUsers(const LeaseTable&, const EndedUse&);

}
