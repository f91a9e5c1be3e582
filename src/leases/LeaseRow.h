#pragma once

#include "base/Time.h"
#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <string>

namespace parsleypaddle {

/// The table of the daemons' leases, one row for each instance.
inline constexpr const char* leaseTable = "leases";

/// Where other daemons reach a daemon. Ports are 0 while unknown.
struct PeerAddresses {
    FailureDomainId failureDomain;
    std::string host;
    uint16_t platformPort { 0 };
    uint16_t callerPort { 0 };
};

/// A daemon's lease as the platform keeps it.
struct LeaseRow {
    /// Drawn anew at each start of the daemon's process.
    std::string incarnation;
    /// A moment on the platform's clock that is not before the lease was asked for.
    Instant askedAt;
    /// How long it holds from then on.
    Milliseconds length;
    /// Where the daemon passes other daemons' calls on to the platform, and where it takes statements.
    PeerAddresses addresses;
    /// Callers' sessions that it holds, by which connections to the targets are shared out.
    uint32_t sessions { 0 };
};

std::string encodeLeaseRow(const LeaseRow&);
absl::StatusOr<LeaseRow> decodeLeaseRow(const std::string&);

/// Whether the lease has certainly ended by `platformNow`.
inline bool hasEnded(const LeaseRow& row, Instant platformNow)
{
    // Clocks of instances and platform run at the same rate within a few parts in a thousand.
    constexpr Milliseconds drift { 100 };
    return row.askedAt + row.length + drift < platformNow;
}

}
