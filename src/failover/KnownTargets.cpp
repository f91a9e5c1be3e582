#include "failover/KnownTargets.h"

#include "base/ResultCode.h"
#include "statements/JsonText.h"

namespace parsleypaddle {

namespace {

    /// Of the fields that may be missing.
    bool hasKnownTypes(const Json::Value& target)
    {
        const bool hasFlags = (target["leaving"].isNull() || target["leaving"].isBool()) && (target["restarted"].isNull() || target["restarted"].isBool());
        const bool hasTimes = (target["started_at"].isNull() || target["started_at"].isNumeric()) && (target["leaving_since"].isNull() || target["leaving_since"].isNumeric());
        return hasFlags && hasTimes && (target["failure_domain"].isNull() || target["failure_domain"].isString());
    }

}

std::string encodeKnownTargets(const KnownTargets& targets)
{
    Json::Value entries(Json::arrayValue);
    for (const auto& [id, target] : targets) {
        Json::Value entry(Json::objectValue);
        entry["id"] = id.value();
        entry["host"] = target.address.host;
        entry["port"] = target.address.port;
        if (target.isLeaving)
            entry["leaving"] = true;
        if (target.leavingSince)
            entry["leaving_since"] = target.leavingSince->sinceEpoch();
        if (target.startedAt)
            entry["started_at"] = target.startedAt->sinceEpoch();
        if (target.hasRestarted)
            entry["restarted"] = true;
        entry["failure_domain"] = target.failureDomain.value();
        entries.append(std::move(entry));
    }
    Json::Value value(Json::objectValue);
    value["targets"] = std::move(entries);
    return writeJson(value);
}

absl::StatusOr<KnownTargets> decodeKnownTargets(const std::string& text)
{
    const auto object = parseJsonObject(text);
    if (!object.ok())
        return makeError(ResultCode::MalformedInput, "row of known targets is not a JSON object");
    const Json::Value& entries = (*object)["targets"];
    if (!entries.isArray())
        return makeError(ResultCode::MissingField, "row of known targets lacks the array targets");
    KnownTargets targets;
    for (const auto& it : entries) {
        const bool isWhole = it.isObject() && it["id"].isString() && it["host"].isString() && it["port"].isUInt() && it["port"].asUInt() <= UINT16_MAX;
        if (!isWhole)
            return makeError(ResultCode::MissingField, "known target lacks an id, a host or a port");
        if (!hasKnownTypes(it))
            return makeError(ResultCode::WrongType, "known target has a flag that is not a boolean, a time that is not a number, or failure_domain that is not a text");
        KnownTarget target;
        target.address = { it["host"].asString(), static_cast<uint16_t>(it["port"].asUInt()) };
        target.isLeaving = it["leaving"].asBool();
        if (it.isMember("leaving_since"))
            target.leavingSince = Instant(it["leaving_since"].asDouble());
        if (it.isMember("started_at"))
            target.startedAt = Instant(it["started_at"].asDouble());
        target.hasRestarted = it["restarted"].asBool();
        target.failureDomain = FailureDomainId(it["failure_domain"].asString());
        targets[TargetId(it["id"].asString())] = target;
    }
    return targets;
}

std::string knownTargetsKey(const GroupId& group)
{
    return "targets/" + group.value();
}

}
