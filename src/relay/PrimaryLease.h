#pragma once

namespace parsleypaddle {

/// This daemon's right to use the primaries it believes in. Nobody replaces a primary while a daemon that has not
/// given it up holds a valid lease.
class PrimaryLease {
public:
    virtual ~PrimaryLease() = default;

    /// Whether the lease holds at this moment.
    virtual bool isValid() const = 0;
};

}
