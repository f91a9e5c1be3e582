#pragma once

#include "base/Time.h"
#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <string>

namespace parsleypaddle {

/// Platform table that holds the daemons' leases, one row for each instance.
inline constexpr const char* leaseTable = "leases";

/// Addresses at which other daemons reach a daemon. Unknown ports are 0.
struct PeerEndpoint {
    FailureDomainId failureDomain;
    std::string host;
    uint16_t platformProxyPort { 0 };
    uint16_t callerPort { 0 };
};

/// A daemon's lease as stored in the platform's lease table.
struct LeaseRow {
    /// Identifies the daemon's process; generated anew at each start.
    std::string incarnation;
    /// Platform time at which the lease was requested. An estimate that is never earlier than the actual time.
    Instant requestedAt;
    /// Time from `requestedAt` until the lease expires.
    Milliseconds duration;
    /// Where the daemon forwards other daemons' calls to the platform, and where it accepts statements.
    PeerEndpoint addresses;
    /// Number of callers' sessions at the daemon. Half of each target's connections are divided among the daemons
    /// in proportion to it.
    uint32_t sessions { 0 };
};

std::string encodeLeaseRow(const LeaseRow&);
absl::StatusOr<LeaseRow> decodeLeaseRow(const std::string&);

/// Whether the lease has expired at `platformNow`, even if the daemon's clock runs slower than the platform's.
inline bool isExpired(const LeaseRow& row, Instant platformNow)
{
    // The clocks of instances and platform run at the same rate within a few parts per thousand.
    constexpr Milliseconds clockDrift { 100 };
    return row.requestedAt + row.duration + clockDrift < platformNow;
}

}
