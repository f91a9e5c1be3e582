#pragma once

#include "configuration/ConfigurationBody.h"

#include <functional>

namespace parsleypaddle {

/// Calls to other daemons for propagating configuration versions. Every call completes within its own timeout.
class ConfigurationPeers {
public:
    using DigestDone = std::function<void(absl::StatusOr<ConfigurationDigest>)>;
    using BodyDone = std::function<void(absl::StatusOr<std::string>)>;

    virtual ~ConfigurationPeers() = default;

    /// Selects one of the other daemons, each with equal probability, using the random number `random`. Empty when there
    /// is none.
    virtual InstanceId pick(uint64_t random) const = 0;

    /// Sends this daemon's digest to a peer; the result is the peer's digest.
    virtual void exchange(const InstanceId& peer, const ConfigurationDigest& own, DigestDone) = 0;

    /// Fetches the encoded body of that version from a peer.
    virtual void fetch(const InstanceId& peer, ConfigurationVersion, BodyDone) = 0;
};

}
