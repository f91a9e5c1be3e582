#include "statements/StatementJson.h"

#include "statements/StatementFields.h"

#include <Poco/UTF8Encoding.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>
#include <sstream>

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
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    }

    absl::StatusOr<Json::Value> parseObject(std::string_view body)
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

    std::string writeCompact(const Json::Value& value)
    {
        static const Json::StreamWriterBuilder builder = [] {
            Json::StreamWriterBuilder settings;
            settings["indentation"] = "";
            settings["emitUTF8"] = true;
            return settings;
        }();
        thread_local const std::unique_ptr<Json::StreamWriter> writer(builder.newStreamWriter());
        std::ostringstream stream;
        writer->write(value, &stream);
        return stream.str();
    }

    Json::Value jsonOf(const Rows& rows)
    {
        Json::Value lines(Json::arrayValue);
        for (const auto& row : rows.values) {
            Json::Value& line = lines.append(Json::Value(Json::arrayValue));
            for (const auto& value : row)
                line.append(value ? Json::Value(*value) : Json::Value());
        }
        return lines;
    }

    Rows rowsOf(const Json::Value& object)
    {
        Rows rows;
        for (const auto& column : object["columns"])
            rows.columns.push_back(column.asString());
        for (const auto& line : object["rows"]) {
            auto& row = rows.values.emplace_back();
            for (const auto& value : line)
                row.push_back(value.isNull() ? SqlValue() : SqlValue(value.asString()));
        }
        rows.changed = object["changed"].asUInt64();
        return rows;
    }

    AckLevel ackLevelOf(const std::string& name)
    {
        for (const AckLevel level : { AckLevel::Committed, AckLevel::TermConfirmed, AckLevel::Replicated }) {
            if (name == nameOf(level))
                return level;
        }
        return AckLevel::None;
    }

}

const char* nameOf(AckLevel level)
{
    static constexpr std::array<const char*, 4> names { "none", "committed", "term_confirmed", "replicated" };
    return names.at(static_cast<size_t>(level));
}

absl::StatusOr<StatementRequest> decodeStatementRequest(std::string_view body, Instant now)
{
    if (!isUtf8(body))
        return makeError(ResultCode::MalformedInput, "body: not UTF-8");
    auto object = parseObject(body);
    if (!object.ok())
        return object.status();
    StatementRequest request;
    if (auto ec = decodeFields(*object, FieldContext { body, now, request }); !ec.ok())
        return ec;
    return request;
}

std::string encodeStatementAnswer(const StatementAnswer& answer)
{
    Json::Value object(Json::objectValue);
    object["request_id"] = answer.id.value();
    object["outcome"] = std::string(nameOf(answer.outcome()));
    object["code"] = static_cast<unsigned>(answer.code);
    object["name"] = std::string(nameOf(answer.code));
    object["message"] = answer.message;
    Json::Value& columns = object["columns"] = Json::Value(Json::arrayValue);
    for (const auto& it : answer.rows.columns)
        columns.append(it);
    object["rows"] = jsonOf(answer.rows);
    object["changed"] = Json::UInt64(answer.rows.changed);
    object["token"] = answer.token;
    object["ack_level"] = nameOf(answer.ackLevel);
    object["transaction"] = answer.transaction.value();
    object["target"] = answer.target.value();
    object["age_ms"] = answer.age.count();
    object["retry_after_ms"] = answer.retryAfter.count();
    return writeCompact(object);
}

absl::StatusOr<StatementAnswer> decodeStatementAnswer(std::string_view body)
{
    auto parsed = parseObject(body);
    if (!parsed.ok())
        return parsed.status();
    const Json::Value& object = *parsed;
    try {
        if (!isResultCode(object["code"].asUInt64()))
            return makeError(ResultCode::MalformedInput, "code: not a result code");
        StatementAnswer answer;
        answer.code = static_cast<ResultCode>(object["code"].asUInt());
        answer.id = RequestId(object["request_id"].asString());
        answer.message = object["message"].asString();
        answer.rows = rowsOf(object);
        answer.token = object["token"].asString();
        answer.ackLevel = ackLevelOf(object["ack_level"].asString());
        answer.transaction = TransactionId(object["transaction"].asString());
        answer.target = TargetId(object["target"].asString());
        answer.age = Milliseconds(object["age_ms"].asDouble());
        answer.retryAfter = Milliseconds(object["retry_after_ms"].asDouble());
        return answer;
    } catch (const Json::Exception& ec) {
        return makeError(ResultCode::MalformedInput, absl::StrCat("answer: ", ec.what()));
    }
}

}
