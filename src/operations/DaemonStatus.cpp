#include "operations/DaemonStatus.h"

#include "base/ResultCode.h"

#include <json/json.h>

namespace parsleypaddle {

namespace {

    const char* nameOf(TargetRole role)
    {
        return role == TargetRole::Primary ? "primary" : "replica";
    }

    Json::Value toJson(const TargetReport& report)
    {
        Json::Value value;
        value["target"] = report.target.value();
        value["failure_domain"] = report.failureDomain.value();
        value["role"] = nameOf(report.status.role);
        value["term"] = Json::UInt64(report.status.term.value());
        value["position"] = Json::UInt64(report.status.position.value());
        value["applied"] = Json::UInt64(report.status.applied.value());
        value["age_ms"] = report.status.age.count();
        value["leaving"] = report.status.isLeaving;
        value["heard_ago_ms"] = report.statusReceivedAgo.count();
        value["suspect"] = report.isSuspect;
        value["home"] = report.home.value();
        return value;
    }

    TargetReport targetReportFromJson(const Json::Value& value)
    {
        TargetReport report;
        report.target = TargetId(value["target"].asString());
        report.failureDomain = FailureDomainId(value["failure_domain"].asString());
        report.status.role = value["role"].asString() == nameOf(TargetRole::Primary) ? TargetRole::Primary : TargetRole::Replica;
        report.status.term = Term(value["term"].asUInt64());
        report.status.position = LogPosition(value["position"].asUInt64());
        report.status.applied = LogPosition(value["applied"].asUInt64());
        report.status.age = Milliseconds(value["age_ms"].asDouble());
        report.status.isLeaving = value["leaving"].asBool();
        report.statusReceivedAgo = Milliseconds(value["heard_ago_ms"].asDouble());
        report.isSuspect = value["suspect"].asBool();
        report.home = InstanceId(value["home"].asString());
        return report;
    }

    Json::Value toJson(const GroupReport& report)
    {
        Json::Value value;
        value["database"] = report.database.value();
        value["term"] = Json::UInt64(report.term.value());
        value["primary"] = report.primary.value();
        value["targets"] = Json::Value(Json::arrayValue);
        for (const auto& it : report.targets)
            value["targets"].append(toJson(it));
        return value;
    }

    GroupReport groupReportFromJson(const Json::Value& value)
    {
        GroupReport report;
        report.database = DatabaseId(value["database"].asString());
        report.term = Term(value["term"].asUInt64());
        report.primary = TargetId(value["primary"].asString());
        for (const auto& it : value["targets"])
            report.targets.push_back(targetReportFromJson(it));
        return report;
    }

    Json::Value toJson(const InstanceEntry& entry)
    {
        Json::Value value;
        value["instance"] = entry.instance.value();
        value["failure_domain"] = entry.failureDomain.value();
        value["host"] = entry.host;
        value["port"] = entry.port;
        value["control_port"] = entry.controlPort;
        value["leaving"] = entry.isLeaving;
        return value;
    }

    InstanceEntry instanceEntryFromJson(const Json::Value& value)
    {
        InstanceEntry entry;
        entry.instance = InstanceId(value["instance"].asString());
        entry.failureDomain = FailureDomainId(value["failure_domain"].asString());
        entry.host = value["host"].asString();
        entry.port = static_cast<uint16_t>(value["port"].asUInt());
        entry.controlPort = static_cast<uint16_t>(value["control_port"].asUInt());
        entry.isLeaving = value["leaving"].asBool();
        return entry;
    }

}

Json::Value toJson(const DaemonStatus& status)
{
    Json::Value value;
    value["instance"] = status.instance.value();
    value["failure_domain"] = status.failureDomain.value();
    value["version"] = Json::UInt64(status.version.value());
    value["change_id"] = status.changeId;
    value["draining"] = status.isDraining;
    value["requests_in_flight"] = Json::UInt64(status.requestsInFlight);
    value["groups"] = Json::Value(Json::arrayValue);
    for (const auto& it : status.groups)
        value["groups"].append(toJson(it));
    value["instances"] = Json::Value(Json::arrayValue);
    for (const auto& it : status.instances)
        value["instances"].append(toJson(it));
    return value;
}

absl::StatusOr<DaemonStatus> daemonStatusFromJson(const Json::Value& value)
{
    try {
        DaemonStatus status;
        status.instance = InstanceId(value["instance"].asString());
        status.failureDomain = FailureDomainId(value["failure_domain"].asString());
        status.version = ConfigurationVersion(value["version"].asUInt64());
        status.changeId = value["change_id"].asString();
        status.isDraining = value["draining"].asBool();
        status.requestsInFlight = value["requests_in_flight"].asUInt64();
        for (const auto& it : value["groups"])
            status.groups.push_back(groupReportFromJson(it));
        for (const auto& it : value["instances"])
            status.instances.push_back(instanceEntryFromJson(it));
        return status;
    } catch (const Json::Exception& error) {
        return makeError(ResultCode::WrongType, error.what());
    }
}

}
