#include "leases/LeaseRow.h"

#include "base/ResultCode.h"
#include "statements/JsonText.h"

namespace parsleypaddle {

namespace {

    uint16_t portOf(const Json::Value& value)
    {
        return value.isUInt() && value.asUInt() <= UINT16_MAX ? static_cast<uint16_t>(value.asUInt()) : 0;
    }

    // A lease counts without them: such a daemon is only not asked for help.
    PeerAddresses decodeAddresses(const Json::Value& value)
    {
        PeerAddresses addresses;
        if (!value["failure_domain"].isString() || !value["host"].isString())
            return addresses;
        addresses.failureDomain = FailureDomainId(value["failure_domain"].asString());
        addresses.host = value["host"].asString();
        addresses.platformPort = portOf(value["platform_port"]);
        addresses.callerPort = portOf(value["caller_port"]);
        return addresses;
    }

}

std::string encodeLeaseRow(const LeaseRow& row)
{
    Json::Value value(Json::objectValue);
    value["incarnation"] = row.incarnation;
    value["asked_at"] = row.askedAt.sinceEpoch();
    value["length_ms"] = row.length.count();
    value["failure_domain"] = row.addresses.failureDomain.value();
    value["host"] = row.addresses.host;
    value["platform_port"] = row.addresses.platformPort;
    value["caller_port"] = row.addresses.callerPort;
    value["sessions"] = row.sessions;
    return writeJson(value);
}

absl::StatusOr<LeaseRow> decodeLeaseRow(const std::string& text)
{
    const auto object = parseJsonObject(text);
    if (!object.ok())
        return makeError(ResultCode::MalformedInput, "a lease is no JSON object");
    const Json::Value& value = *object;
    const Json::Value& incarnation = value["incarnation"];
    const Json::Value& askedAt = value["asked_at"];
    const Json::Value& length = value["length_ms"];
    if (!incarnation.isString() || !askedAt.isNumeric() || !length.isNumeric())
        return makeError(ResultCode::MissingField, "a lease lacks a field");
    LeaseRow row;
    row.incarnation = incarnation.asString();
    row.askedAt = Instant(askedAt.asDouble());
    row.length = Milliseconds(length.asDouble());
    row.addresses = decodeAddresses(value);
    row.sessions = value["sessions"].isUInt() ? value["sessions"].asUInt() : 0;
    return row;
}

}
