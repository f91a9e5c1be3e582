#include "leases/LeaseRow.h"

#include "base/ResultCode.h"

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace parsleypaddle {

std::string encodeLeaseRow(const LeaseRow& row)
{
    Json::Value value(Json::objectValue);
    value["incarnation"] = row.incarnation;
    value["asked_at"] = row.askedAt.sinceEpoch();
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

absl::StatusOr<LeaseRow> decodeLeaseRow(const std::string& text)
{
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors) || !value.isObject())
        return makeError(ResultCode::MalformedInput, "a lease is no JSON object");
    const Json::Value& incarnation = value["incarnation"];
    const Json::Value& askedAt = value["asked_at"];
    if (!incarnation.isString() || !askedAt.isNumeric())
        return makeError(ResultCode::MissingField, "a lease lacks a field");
    return LeaseRow { incarnation.asString(), Instant(askedAt.asDouble()) };
}

}
