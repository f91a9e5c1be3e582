#include "statements/StatementJson.h"

#include "statements/JsonText.h"
#include "statements/JsonWriter.h"
#include "statements/RowsJson.h"
#include "statements/StatementFields.h"

#include <absl/strings/str_cat.h>
#include <array>

namespace parsleypaddle {

namespace {

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
    auto object = parseJsonObject(body);
    if (!object.ok())
        return object.status();
    StatementRequest request;
    if (auto ec = decodeFields(*object, FieldContext { body, now, request }); !ec.ok())
        return ec;
    return request;
}

std::string encodeStatementAnswer(const StatementAnswer& answer)
{
    JsonWriter writer;
    writer.beginObject();
    writer.field("request_id", answer.id.value());
    writer.field("outcome", nameOf(answer.outcome()));
    writer.field("code", static_cast<uint64_t>(answer.code));
    writer.field("name", nameOf(answer.code));
    writer.field("message", answer.message);
    writeRows(writer, answer.rows);
    writer.field("token", answer.token);
    writer.field("ack_level", nameOf(answer.ackLevel));
    writer.field("transaction", answer.transaction.value());
    writer.field("target", answer.target.value());
    writer.field("age_ms", answer.age.count());
    writer.field("retry_after_ms", answer.retryAfter.count());
    writer.endObject();
    return writer.takeText();
}

absl::StatusOr<StatementAnswer> decodeStatementAnswer(std::string_view body)
{
    auto parsed = parseJsonObject(body);
    if (!parsed.ok())
        return parsed.status();
    const Json::Value& object = *parsed;
    try {
        if (!isResultCode(object["code"].asUInt64()))
            return makeError(ResultCode::MalformedInput, "code: not a known result code");
        StatementAnswer answer;
        answer.code = static_cast<ResultCode>(object["code"].asUInt());
        answer.id = RequestId(object["request_id"].asString());
        answer.message = object["message"].asString();
        answer.rows = decodeRows(object);
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
