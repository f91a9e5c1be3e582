#include "statements/JsonText.h"

#include "base/ResultCode.h"

#include <Poco/UTF8Encoding.h>
#include <absl/strings/str_cat.h>
#include <cstring>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace parsleypaddle {

namespace {

    constexpr int maxNestingDepth = 16;

    std::unique_ptr<Json::CharReader> createReader()
    {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        builder["stackLimit"] = maxNestingDepth;
        builder["failIfExtra"] = true;
        builder["rejectDupKeys"] = true;
        builder["collectComments"] = false;
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    }

    constexpr unsigned char firstMultibyte = 0x80;

    /// The number of ASCII characters before the first other byte. Checks eight bytes at a time, for speed.
    size_t asciiPrefixLength(std::string_view text)
    {
        constexpr uint64_t highBits = 0x8080808080808080;
        size_t n = 0;
        uint64_t word = 0;
        while (n + sizeof(word) <= text.size()) {
            std::memcpy(&word, text.data() + n, sizeof(word));
            if (word & highBits)
                break;
            n += sizeof(word);
        }
        while (n < text.size() && static_cast<unsigned char>(text[n]) < firstMultibyte)
            ++n;
        return n;
    }

}

bool isUtf8(std::string_view text)
{
    const Poco::UTF8Encoding encoding;
    const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
    size_t n = 0;
    while (n < text.size()) {
        if (bytes[n] < firstMultibyte) {
            n += asciiPrefixLength(text.substr(n));
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
    std::string parserErrors;
    try {
        if (!reader->parse(body.data(), body.data() + body.size(), &object, &parserErrors))
            return makeError(ResultCode::MalformedInput, absl::StrCat("body: not JSON: ", parserErrors));
    } catch (const Json::Exception&) {
        return makeError(ResultCode::MalformedInput, absl::StrCat("body: not JSON, or nested deeper than ", maxNestingDepth));
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
