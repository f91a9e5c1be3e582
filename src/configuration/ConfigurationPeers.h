#pragma once

#include "configuration/ConfigurationBody.h"

#include <functional>

namespace parsleypaddle {

/// The other daemons, as the spread of configuration sees them. Every call answers within its own timeout.
class ConfigurationPeers {
public:
    using DigestDone = std::function<void(absl::StatusOr<ConfigurationDigest>)>;
    using BodyDone = std::function<void(absl::StatusOr<std::string>)>;

    virtual ~ConfigurationPeers() = default;

    /// One of those that may be asked now, evenly by `random`, this daemon left out; empty when there is none.
    virtual InstanceId pick(uint64_t random) const = 0;

    /// Tells a peer this daemon's digest and answers the peer's.
    virtual void exchange(const InstanceId& peer, const ConfigurationDigest& own, DigestDone) = 0;

    /// Answers the peer's encoded body of that version.
    virtual void fetch(const InstanceId& peer, ConfigurationVersion, BodyDone) = 0;
};

}
