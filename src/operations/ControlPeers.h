#pragma once

#include "configuration/ConfigurationPeers.h"
#include "net/WorkerPool.h"
#include "platform/PlatformPorts.h"

#include <json/value.h>

namespace parsleypaddle {

/// How the configuration's spread reaches the other daemons.
struct ControlPeersSettings {
    InstanceId self;
    std::string key;
    Milliseconds exchangeTimeout { 1000 };
    /// Bodies are larger than digests.
    Milliseconds fetchTimeout { 5000 };
};

/// The other daemons over JSON-RPC. Calls block a worker, never the loop.
class ControlPeers final : public ConfigurationPeers {
public:
    using Instances = std::function<std::vector<InstanceEntry>()>;

    /// `instances` gives the known daemons, this one may be among them.
    ControlPeers(WorkerPool&, ControlPeersSettings, Instances instances);

    InstanceId pick(uint64_t random) const override;
    void exchange(const InstanceId&, const ConfigurationDigest& own, DigestDone) override;
    void fetch(const InstanceId&, ConfigurationVersion, BodyDone) override;

private:
    using Answered = std::function<void(absl::StatusOr<Json::Value>)>;

    void call(const InstanceId&, const std::string& method, const Json::Value& parameters, Milliseconds timeout, Answered);

    WorkerPool& m_workers;
    ControlPeersSettings m_settings;
    Instances m_instances;
};

}
