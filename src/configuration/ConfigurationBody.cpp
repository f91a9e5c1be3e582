#include "configuration/ConfigurationBody.h"

#include "base/ResultCode.h"
#include "configuration/CompressedText.h"

#include <iomanip>
#include <json/json.h>
#include <memory>
#include <sstream>
#include <xxhash.h>

namespace parsleypaddle {

namespace {

    std::string writeJson(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, value);
    }

    absl::StatusOr<Json::Value> parseObject(const std::string& text)
    {
        const Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value value;
        std::string faults;
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &faults) || !value.isObject())
            return makeError(ResultCode::MalformedInput, "expected one JSON object: " + faults);
        return value;
    }

    ChangeRecord changeRecordFromJson(const Json::Value& value)
    {
        return { ConfigurationVersion(value["version"].asUInt64()), value["change_id"].asString(), value["author"].asString(), Instant(value["at"].asDouble()), value["summary"].asString() };
    }

    // JsonCpp throws an exception when a field does not have the requested type.
    template <typename T, typename Convert>
    absl::StatusOr<T> decode(const std::string& encoded, const Convert& convert)
    {
        const auto value = parseObject(encoded);
        if (!value.ok())
            return value.status();
        try {
            return convert(*value);
        } catch (const Json::Exception& error) {
            return makeError(ResultCode::WrongType, error.what());
        }
    }

}

Json::Value changeRecordToJson(const ChangeRecord& record)
{
    Json::Value value;
    value["version"] = Json::UInt64(record.version.value());
    value["change_id"] = record.changeId;
    value["author"] = record.author;
    value["at"] = record.submittedAt.sinceEpoch();
    value["summary"] = record.summary;
    return value;
}

std::string encodeBody(const ConfigurationBody& body)
{
    Json::Value value;
    value["document"] = body.document;
    value["history"] = Json::Value(Json::arrayValue);
    for (const auto& it : body.history)
        value["history"].append(changeRecordToJson(it));
    return compressText(writeJson(value));
}

absl::StatusOr<ConfigurationBody> decodeBody(const std::string& encoded)
{
    const auto decompressed = decompressText(encoded);
    if (!decompressed.ok())
        return decompressed.status();
    return decode<ConfigurationBody>(*decompressed, [](const Json::Value& value) {
        ConfigurationBody body;
        body.document = value["document"].asString();
        for (const auto& it : value["history"])
            body.history.push_back(changeRecordFromJson(it));
        return body;
    });
}

std::string encodeRoot(const ConfigurationRoot& root)
{
    Json::Value value;
    value["version"] = Json::UInt64(root.digest.version.value());
    value["change_id"] = root.digest.changeId;
    value["body_hash"] = root.digest.bodyHash;
    value["object"] = root.object;
    return writeJson(value);
}

absl::StatusOr<ConfigurationRoot> decodeRoot(const std::string& encoded)
{
    return decode<ConfigurationRoot>(encoded, [](const Json::Value& value) {
        const ConfigurationDigest digest { ConfigurationVersion(value["version"].asUInt64()), value["change_id"].asString(), value["body_hash"].asString() };
        return ConfigurationRoot { digest, value["object"].asString() };
    });
}

std::string hashOf(const std::string& encodedBody)
{
    std::stringstream buf;
    buf << std::hex << std::setw(16) << std::setfill('0') << XXH64(encodedBody.data(), encodedBody.size(), 0);
    return buf.str();
}

}
