#include "platform_http/PlatformListJson.h"

#include "base/ResultCode.h"

#include <json/json.h>
#include <limits>

namespace parsleypaddle {

namespace {

    uint16_t portFrom(const Json::Value& value)
    {
        const Json::UInt port = value.asUInt();
        if (port > std::numeric_limits<uint16_t>::max())
            throw Json::RuntimeError("a port is above 65535");
        return static_cast<uint16_t>(port);
    }

    InstanceEntry entryFrom(const Json::Value& value)
    {
        InstanceEntry entry;
        entry.instance = InstanceId(value["instance"].asString());
        entry.failureDomain = FailureDomainId(value["failure_domain"].asString());
        entry.host = value["host"].asString();
        entry.port = portFrom(value["port"]);
        entry.controlPort = portFrom(value["control_port"]);
        entry.isLeaving = value["leaving"].asBool();
        return entry;
    }

}

absl::StatusOr<PlatformList> decodePlatformList(const std::string& json)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string faults;
    if (!reader->parse(json.data(), json.data() + json.size(), &value, &faults) || !value.isObject())
        return makeError(ResultCode::MalformedInput, "the list of instances is not one JSON object: " + faults);
    try {
        PlatformList list;
        for (const auto& it : value["instances"]) {
            list.instances.push_back(entryFrom(it));
            const InstanceEntry& entry = list.instances.back();
            if (entry.instance.isEmpty() || entry.host.empty())
                return makeError(ResultCode::MissingField, "an instance needs its name and host");
        }
        for (const auto& it : value["leaving_targets"])
            list.leavingTargets.emplace_back(it.asString());
        return list;
    } catch (const Json::Exception& error) {
        return makeError(ResultCode::WrongType, error.what());
    }
}

}
