#include "statements/JsonText.h"

#include "base/ResultCode.h"

#include <Poco/UTF8Encoding.h>
#include <absl/strings/str_cat.h>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace parsleypaddle {

namespace {

    constexpr int deepestNesting = 16;

    std::unique_ptr<Json::CharReader> createReader()
    {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        builder["stackLimit"] = deepestNesting;
        builder["failIfExtra"] = true;
        builder["rejectDupKeys"] = true;
        builder["collectComments"] = false;
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    }

}

bool isUtf8(std::string_view text)
{
    const Poco::UTF8Encoding encoding;
    const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
    size_t n = 0;
    while (n < text.size()) {
        if (bytes[n] < 0x80) {
            ++n;
            continue;
        }
        const int length = encoding.sequenceLength(bytes + n, 1);
        if (length < 1 || n + length > text.size() || !Poco::UTF8Encoding::isLegal(bytes + n, length))
            return false;
        n += length;
    }
    return true;
}

absl::StatusOr<Json::Value> parseJsonObject(std::string_view body)
{
    thread_local const std::unique_ptr<Json::CharReader> reader = createReader();
    Json::Value object;
    std::string faults;
    try {
        if (!reader->parse(body.data(), body.data() + body.size(), &object, &faults))
            return makeError(ResultCode::MalformedInput, absl::StrCat("body: not JSON: ", faults));
    } catch (const Json::Exception&) {
        return makeError(ResultCode::MalformedInput, absl::StrCat("body: not JSON, or nested deeper than ", deepestNesting));
    }
    if (!object.isObject())
        return makeError(ResultCode::MalformedInput, "body: not a JSON object");
    return object;
}

std::string writeJson(const Json::Value& value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder settings;
        settings["indentation"] = "";
        settings["emitUTF8"] = true;
        return settings;
    }();
    return Json::writeString(builder, value);
}

}
