#include "standin_program/GroupSettings.h"

#include "base/ResultCode.h"

#include <yaml-cpp/yaml.h>

namespace parsleypaddle {

namespace {

    Milliseconds milliseconds(const YAML::Node& node, const char* name, Milliseconds otherwise)
    {
        return Milliseconds(node[name].as<double>(otherwise.count()));
    }

    ServiceSettings serviceOf(const YAML::Node& node)
    {
        ServiceSettings service;
        if (!node)
            return service;
        service.host = node["host"].as<std::string>(service.host);
        service.slots = node["slots"].as<uint32_t>(service.slots);
        service.connections = node["connections"].as<uint32_t>(service.connections);
        service.connectTime = milliseconds(node, "connect_time_ms", service.connectTime);
        service.serviceTime = milliseconds(node, "service_time_ms", service.serviceTime);
        return service;
    }

    StandinTarget targetOf(const YAML::Node& node)
    {
        StandinTarget target;
        target.id = TargetId(node["id"].as<std::string>());
        target.port = node["port"].as<uint16_t>(target.port);
        target.delay = milliseconds(node, "delay_ms", target.delay);
        target.applyLag = milliseconds(node, "apply_lag_ms", target.applyLag);
        return target;
    }

}

absl::StatusOr<GroupSettings> readGroupSettings(const std::string& path)
{
    try {
        const YAML::Node root = YAML::LoadFile(path);
        GroupSettings settings;
        settings.group.database = DatabaseId(root["database"].as<std::string>());
        settings.group.service = serviceOf(root["service"]);
        settings.controlPort = root["control_port"].as<uint16_t>(settings.controlPort);
        for (const auto& it : root["targets"])
            settings.group.targets.push_back(targetOf(it));
        if (settings.group.targets.empty())
            return makeError(ResultCode::MissingField, path + ": targets is empty");
        return settings;
    } catch (const YAML::Exception& ec) {
        return makeError(ResultCode::MalformedInput, path + ": " + ec.what());
    }
}

}
