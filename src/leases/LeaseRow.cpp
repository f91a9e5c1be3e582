#include "leases/LeaseRow.h"

#include "base/ResultCode.h"
#include "statements/JsonText.h"

namespace parsleypaddle {

namespace {

    uint16_t decodePort(const Json::Value& value)
    {
        return value.isUInt() && value.asUInt() <= UINT16_MAX ? static_cast<uint16_t>(value.asUInt()) : 0;
    }

    // The addresses are optional: a lease without them is valid, but its daemon is not listed as a peer.
    PeerEndpoint decodeAddresses(const Json::Value& value)
    {
        PeerEndpoint addresses;
        if (!value["failure_domain"].isString() || !value["host"].isString())
            return addresses;
        addresses.failureDomain = FailureDomainId(value["failure_domain"].asString());
        addresses.host = value["host"].asString();
        addresses.platformProxyPort = decodePort(value["platform_port"]);
        addresses.callerPort = decodePort(value["caller_port"]);
        return addresses;
    }

}

std::string encodeLeaseRow(const LeaseRow& row)
{
    Json::Value value(Json::objectValue);
    value["incarnation"] = row.incarnation;
    value["asked_at"] = row.requestedAt.sinceEpoch();
    value["length_ms"] = row.duration.count();
    value["failure_domain"] = row.addresses.failureDomain.value();
    value["host"] = row.addresses.host;
    value["platform_port"] = row.addresses.platformProxyPort;
    value["caller_port"] = row.addresses.callerPort;
    value["sessions"] = row.sessions;
    return writeJson(value);
}

absl::StatusOr<LeaseRow> decodeLeaseRow(const std::string& text)
{
    const auto object = parseJsonObject(text);
    if (!object.ok())
        return makeError(ResultCode::MalformedInput, "lease row is not a JSON object");
    const Json::Value& value = *object;
    const Json::Value& incarnation = value["incarnation"];
    const Json::Value& requestedAt = value["asked_at"];
    const Json::Value& duration = value["length_ms"];
    if (!incarnation.isString() || !requestedAt.isNumeric() || !duration.isNumeric())
        return makeError(ResultCode::MissingField, "lease row lacks its incarnation, request time or duration, or one has the wrong type");
    LeaseRow row;
    row.incarnation = incarnation.asString();
    row.requestedAt = Instant(requestedAt.asDouble());
    row.duration = Milliseconds(duration.asDouble());
    row.addresses = decodeAddresses(value);
    row.sessions = value["sessions"].isUInt() ? value["sessions"].asUInt() : 0;
    return row;
}

}
