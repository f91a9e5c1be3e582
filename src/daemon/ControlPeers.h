#pragma once

#include "configuration/ConfigurationPeers.h"
#include "membership/Membership.h"
#include "net/WorkerPool.h"

#include <json/value.h>

namespace parsleypaddle {

/// Reaches other daemons for the spread of configuration, by control calls from worker threads.
class ControlPeers final : public ConfigurationPeers {
public:
    ControlPeers(const Membership&, WorkerPool&, std::string key);

    InstanceId pick(uint64_t random) const override;
    void exchange(const InstanceId& peer, const ConfigurationDigest& own, DigestDone) override;
    void fetch(const InstanceId& peer, ConfigurationVersion, BodyDone) override;

private:
    using Called = std::function<void(const absl::StatusOr<Json::Value>&)>;

    void call(const InstanceId& peer, const std::string& method, const Json::Value& parameters, const Called&);

    const Membership& m_membership;
    WorkerPool& m_workers;
    std::string m_key;
};

}
