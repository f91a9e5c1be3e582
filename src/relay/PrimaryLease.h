#pragma once

namespace parsleypaddle {

/// The lease under which this daemon may use the primaries of all groups. No daemon replaces a primary while another
/// daemon that may still use it holds a valid lease.
class PrimaryLease {
public:
    virtual ~PrimaryLease() = default;

    virtual bool isValid() const = 0;
};

}
