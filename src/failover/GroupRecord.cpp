#include "failover/GroupRecord.h"

#include "base/ResultCode.h"
#include "statements/JsonText.h"

#include <algorithm>
#include <array>

namespace parsleypaddle {

namespace {

    struct PhaseName {
        GroupPhase phase;
        const char* name;
    };

    constexpr std::array<PhaseName, 3> phaseNames { {
        { GroupPhase::Open, "open" },
        { GroupPhase::Closing, "closing" },
        { GroupPhase::Promoting, "promoting" },
    } };

    Json::Value encodeMark(const LogMark& mark)
    {
        Json::Value value(Json::objectValue);
        value["term"] = Json::UInt64(mark.term.value());
        value["position"] = Json::UInt64(mark.position.value());
        return value;
    }

    absl::StatusOr<LogMark> decodeMark(const Json::Value& value, const char* field)
    {
        if (!value.isObject() || !value["term"].isUInt64() || !value["position"].isUInt64())
            return makeError(ResultCode::MissingField, std::string("group record has no term or position in ") + field);
        return LogMark { Term(value["term"].asUInt64()), LogPosition(value["position"].asUInt64()) };
    }

    absl::Status decodeHistory(const Json::Value& value, GroupRecord& record)
    {
        // A record of an earlier version knows the beginning of its own term only.
        if (!value.isMember("term_begins") && record.termBegin != LogMark())
            record.history.add(record.term, record.termBegin.position);
        const Json::Value begins = value.get("term_begins", Json::Value(Json::arrayValue));
        if (!begins.isArray())
            return makeError(ResultCode::WrongType, "group record has term_begins that are not a list");
        for (const auto& it : begins) {
            const auto mark = decodeMark(it, "term_begins");
            if (!mark.ok())
                return mark.status();
            record.history.add(mark->term, mark->position);
        }
        return absl::OkStatus();
    }

    /// Decodes the fields on the logs, which records of earlier versions lack.
    absl::Status decodeLogs(const Json::Value& value, GroupRecord& record)
    {
        for (const char* it : { "term_begin", "last_mark" }) {
            if (!value.isMember(it))
                continue;
            const auto mark = decodeMark(value[it], it);
            if (!mark.ok())
                return mark.status();
            if (std::string_view(it) == "last_mark")
                record.lastMark = *mark;
            else
                record.termBegin = *mark;
        }
        if (auto status = decodeHistory(value, record); !status.ok())
            return status;
        if (value.isMember("began_at") && !value["began_at"].isNumeric())
            return makeError(ResultCode::MissingField, "group record has began_at that is not a time");
        record.beganAt = Instant(value["began_at"].asDouble());
        if (!value.isMember("synchronous_replicas"))
            return absl::OkStatus();
        if (!value["synchronous_replicas"].isUInt())
            return makeError(ResultCode::MissingField, "group record has synchronous_replicas that are not a number");
        record.synchronousReplicas = value["synchronous_replicas"].asUInt();
        return absl::OkStatus();
    }

}

std::string encodeGroupRecord(const GroupRecord& record)
{
    Json::Value value(Json::objectValue);
    value["phase"] = phaseNames.at(static_cast<size_t>(record.phase)).name;
    value["primary"] = record.primary.value();
    value["term"] = Json::UInt64(record.term.value());
    value["planned"] = record.isPlanned;
    value["owner"] = record.owner.value();
    value["incarnation"] = record.ownerIncarnation;
    value["candidate"] = record.candidate.value();
    value["reinstated"] = record.isReinstated;
    if (!record.unansweredCandidate.isEmpty()) {
        value["unanswered_candidate"] = record.unansweredCandidate.value();
        value["unanswered_until"] = record.unansweredUntil.sinceEpoch();
    }
    if (record.termBegin != LogMark())
        value["term_begin"] = encodeMark(record.termBegin);
    for (const LogMark& it : record.history.begins())
        value["term_begins"].append(encodeMark(it));
    if (record.synchronousReplicas > 0)
        value["synchronous_replicas"] = record.synchronousReplicas;
    if (record.lastMark)
        value["last_mark"] = encodeMark(*record.lastMark);
    if (record.beganAt != Instant())
        value["began_at"] = record.beganAt.sinceEpoch();
    return writeJson(value);
}

absl::StatusOr<GroupRecord> decodeGroupRecord(const std::string& text)
{
    const auto object = parseJsonObject(text);
    if (!object.ok())
        return makeError(ResultCode::MalformedInput, "group record is not a JSON object");
    const Json::Value& value = *object;
    for (const char* it : { "phase", "primary", "owner", "incarnation", "candidate" }) {
        if (!value[it].isString())
            return makeError(ResultCode::MissingField, std::string("group record lacks the text field ") + it);
    }
    if (!value["term"].isUInt64() || !value["planned"].isBool())
        return makeError(ResultCode::MissingField, "group record lacks an integer term or a boolean planned flag");
    const std::string phase = value["phase"].asString();
    const auto* named = std::find_if(phaseNames.begin(), phaseNames.end(), [&phase](const PhaseName& it) { return phase == it.name; });
    if (named == phaseNames.end())
        return makeError(ResultCode::ValueOutOfRange, "group record has the unknown phase " + phase);
    GroupRecord record;
    record.phase = named->phase;
    record.primary = TargetId(value["primary"].asString());
    record.term = Term(value["term"].asUInt64());
    record.isPlanned = value["planned"].asBool();
    record.owner = InstanceId(value["owner"].asString());
    record.ownerIncarnation = value["incarnation"].asString();
    record.candidate = TargetId(value["candidate"].asString());
    record.isReinstated = value["reinstated"].isBool() && value["reinstated"].asBool();
    // Records of earlier versions have neither field.
    if (value.isMember("unanswered_candidate") || value.isMember("unanswered_until")) {
        if (!value["unanswered_candidate"].isString() || !value["unanswered_until"].isNumeric())
            return makeError(ResultCode::MissingField, "group record has an unanswered promotion without a target or a time");
        record.unansweredCandidate = TargetId(value["unanswered_candidate"].asString());
        record.unansweredUntil = Instant(value["unanswered_until"].asDouble());
    }
    if (auto status = decodeLogs(value, record); !status.ok())
        return status;
    return record;
}

std::string groupKey(const GroupId& group)
{
    return "group/" + group.value();
}

std::string suspicionPrefix(const GroupId& group)
{
    return "suspicion/" + group.value() + "/";
}

std::string suspicionKey(const GroupId& group, const InstanceId& instance)
{
    return suspicionPrefix(group) + instance.value();
}

}
