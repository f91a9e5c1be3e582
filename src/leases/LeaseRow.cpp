#include "leases/LeaseRow.h"

#include "base/ResultCode.h"
#include "statements/JsonText.h"

namespace parsleypaddle {

namespace {

    /// Between instance and incarnation in the key of a row. Ids of instances do not hold it.
    constexpr char incarnationSeparator = '/';

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
        addresses.sourcePort = decodePort(value["source_port"]);
        addresses.datagramPort = decodePort(value["datagram_port"]);
        addresses.cores = value["cores"].isNumeric() ? value["cores"].asDouble() : 0;
        addresses.linkMbps = value["link_mbps"].isNumeric() ? value["link_mbps"].asDouble() : 0;
        return addresses;
    }

    uint32_t decodeCount(const Json::Value& value)
    {
        return value.isUInt() ? value.asUInt() : 0;
    }

    void encodeAddresses(Json::Value& value, const PeerEndpoint& addresses)
    {
        value["host"] = addresses.host;
        value["platform_port"] = addresses.platformProxyPort;
        value["caller_port"] = addresses.callerPort;
        value["source_port"] = addresses.sourcePort;
        // Every daemon reads all rows, so what is unknown is left out.
        if (addresses.cores > 0)
            value["cores"] = addresses.cores;
        if (addresses.linkMbps > 0)
            value["link_mbps"] = addresses.linkMbps;
        // Only holders have one that others know.
        if (addresses.datagramPort != 0)
            value["datagram_port"] = addresses.datagramPort;
    }

    // A member is in the failure domain of its source, which therefore is not repeated.
    Json::Value encodeMember(const LeaseMember& member)
    {
        Json::Value value(Json::objectValue);
        value["id"] = member.instance.value();
        value["sessions"] = member.sessions;
        encodeAddresses(value, member.addresses);
        return value;
    }

    // Members that cannot be decoded are skipped: they are not listed as peers.
    std::vector<LeaseMember> decodeMembers(const Json::Value& list, const FailureDomainId& domain)
    {
        std::vector<LeaseMember> members;
        if (!list.isArray())
            return members;
        for (Json::Value it : list) {
            if (!it.isObject() || !it["id"].isString())
                continue;
            it["failure_domain"] = domain.value();
            members.push_back({ InstanceId(it["id"].asString()), decodeAddresses(it), decodeCount(it["sessions"]) });
        }
        return members;
    }

}

std::string leaseKey(const InstanceId& instance)
{
    return instance.value();
}

std::string leaseKey(const InstanceId& instance, const std::string& incarnation)
{
    return instance.value() + incarnationSeparator + incarnation;
}

InstanceId leaseInstance(const std::string& key)
{
    return InstanceId(key.substr(0, key.find(incarnationSeparator)));
}

std::string encodeLeaseRow(const LeaseRow& row)
{
    Json::Value value(Json::objectValue);
    value["incarnation"] = row.incarnation;
    value["asked_at"] = row.requestedAt.sinceEpoch();
    value["length_ms"] = row.duration.count();
    value["failure_domain"] = row.addresses.failureDomain.value();
    encodeAddresses(value, row.addresses);
    value["sessions"] = row.sessions;
    value["grants"] = row.hasGrants;
    if (row.connectedSince != Instant())
        value["connected_since"] = row.connectedSince.sinceEpoch();
    value["members"] = Json::Value(Json::arrayValue);
    for (const auto& it : row.members)
        value["members"].append(encodeMember(it));
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
    row.sessions = decodeCount(value["sessions"]);
    row.hasGrants = value["grants"].isBool() && value["grants"].asBool();
    row.members = decodeMembers(value["members"], row.addresses.failureDomain);
    if (value["connected_since"].isNumeric())
        row.connectedSince = Instant(value["connected_since"].asDouble());
    return row;
}

}
