#include "operations/GossipJson.h"

#include "base/ResultCode.h"

namespace parsleypaddle {

Json::Value digestToJson(const ConfigurationDigest& digest)
{
    Json::Value value;
    value["version"] = Json::UInt64(digest.version.value());
    value["change_id"] = digest.changeId;
    value["body_hash"] = digest.bodyHash;
    return value;
}

absl::StatusOr<ConfigurationDigest> digestFromJson(const Json::Value& value)
{
    if (!value.isObject() || !value["version"].isUInt64() || !value["change_id"].isString() || !value["body_hash"].isString())
        return makeError(ResultCode::WrongType, "expected the digest of a configuration: its version, change id and body hash");
    return ConfigurationDigest { ConfigurationVersion(value["version"].asUInt64()), value["change_id"].asString(), value["body_hash"].asString() };
}

}
