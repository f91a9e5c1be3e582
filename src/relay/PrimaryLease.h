#pragma once

#include "base/Time.h"
#include "platform_ports/RowVersion.h"

#include <cstdint>

namespace parsleypaddle {

/// By what a daemon may use primaries.
enum class LeaseSource : uint8_t {
    /// Its own row of the lease table.
    Row,
    /// A grant of another daemon that holds a row.
    Grant,
};

/// A lease as of one moment.
struct LeaseState {
    Instant validUntil;
    LeaseSource source { LeaseSource::Row };
    /// The last version of the epoch row that the daemon has confirmed.
    RowVersion epoch;
};

/// The lease under which this daemon may use the primaries of all groups. No daemon replaces a primary while another
/// daemon that may still use it holds a valid lease.
class PrimaryLease {
public:
    virtual ~PrimaryLease() = default;

    virtual bool isValid() const = 0;
    /// For logs.
    virtual LeaseState state() const = 0;
};

}
