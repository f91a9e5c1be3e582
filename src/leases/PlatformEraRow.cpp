#include "leases/PlatformEraRow.h"

#include "base/ResultCode.h"
#include "leases/Epoch.h"
#include "statements/JsonText.h"

namespace parsleypaddle {

std::string eraKey(PlatformEra era)
{
    return "era/" + std::to_string(era.value());
}

std::string encodeEraRow(Instant beganAt)
{
    Json::Value value(Json::objectValue);
    value["began_at"] = beganAt.sinceEpoch();
    return writeJson(value);
}

absl::StatusOr<PlatformEraRow> decodeEraRow(const StoredRow& row)
{
    const auto object = parseJsonObject(row.value);
    if (!object.ok())
        return makeError(ResultCode::MalformedInput, "era row is not a JSON object");
    const Json::Value& beganAt = (*object)["began_at"];
    if (!beganAt.isNumeric())
        return makeError(ResultCode::MissingField, "era row lacks the time at which the era began");
    return PlatformEraRow { row.version, Instant(beganAt.asDouble()) };
}

RowExpectation eraFence(PlatformEra era)
{
    return { controlTable, eraKey(era.next()), RowVersion(era, 0) };
}

}
