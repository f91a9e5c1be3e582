#pragma once

#include "base/Time.h"
#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace parsleypaddle {

/// Platform table that holds the daemons' leases, one row for each instance.
inline constexpr const char* leaseTable = "leases";

/// Key of the row of an instance. A process whose instance has left a row behind that it must not replace uses a key of its own.
std::string leaseKey(const InstanceId&);
std::string leaseKey(const InstanceId&, const std::string& incarnation);
/// The instance whose row has this key.
InstanceId leaseInstance(const std::string& key);

/// Addresses at which other daemons reach a daemon. Unknown ports are 0.
struct PeerEndpoint {
    FailureDomainId failureDomain;
    std::string host;
    uint16_t platformProxyPort { 0 };
    uint16_t callerPort { 0 };
    /// Where the daemon accepts subscribers, to which it distributes the platform's tables.
    uint16_t sourcePort { 0 };
    /// Processor cores that the daemon may use; 0 if unknown.
    double cores { 0 };
    /// Where the daemon receives datagrams of other daemons.
    uint16_t datagramPort { 0 };
    /// Bandwidth of the daemon's link in Mbit/s; 0 if unknown, as of a daemon of an earlier version.
    double linkMbps { 0 };
};

/// A daemon that receives the platform's tables and its lease from another daemon, the holder of a lease row.
struct LeaseMember {
    InstanceId instance;
    PeerEndpoint addresses;
    /// Number of callers' sessions at the daemon.
    uint32_t sessions { 0 };
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
    /// Whether other daemons may hold grants under this lease. If so, a new process of the same instance must not replace or delete the
    /// row before it has expired, because it does not know these daemons.
    bool hasGrants { false };
    /// The daemons that subscribe to this one.
    std::vector<LeaseMember> members {};
    /// Platform time since when the daemon has reached the platform without an interruption; zero if unknown, as of a daemon of an earlier
    /// version.
    Instant connectedSince {};
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
