#include "peers/HomeCallJson.h"

#include "base/ResultCode.h"
#include "statements/JsonText.h"
#include "statements/JsonWriter.h"
#include "statements/RowsJson.h"

#include <absl/strings/str_cat.h>

// Field names are short because every forwarded statement carries them.

namespace parsleypaddle {

namespace {

    absl::Status malformed(const char* what)
    {
        return makeError(ResultCode::MalformedInput, absl::StrCat("message between daemons: ", what));
    }

    /// Reads an enumerator, which is encoded as its number. Returns false when the value is no number from 0 to `last`.
    template <typename Enum>
    bool read(const Json::Value& value, Enum last, Enum& result)
    {
        if (!value.isUInt() || value.asUInt() > static_cast<unsigned>(last))
            return false;
        result = static_cast<Enum>(value.asUInt());
        return true;
    }

    template <typename Enum>
    uint64_t numberOf(Enum value)
    {
        return static_cast<uint64_t>(value);
    }

    void write(JsonWriter& writer, const StatementRequest& request, Instant now)
    {
        writer.beginObject();
        writer.field("shop", request.organisation.value());
        writer.field("session", request.session.value());
        writer.field("id", request.id.value());
        writer.field("class", request.workload.value());
        writer.field("db", request.database.value());
        writer.field("sql", request.statement.text);
        writer.key("args");
        writer.beginArray();
        for (const auto& it : request.statement.parameters)
            writeValue(writer, it);
        writer.endArray();
        writer.field("mode", numberOf(request.mode));
        writer.field("rep", numberOf(request.repeatability));
        if (request.greatestAge)
            writer.field("age", request.greatestAge->count());
        writer.field("left", (request.deadline - now).count());
        if (request.transaction) {
            writer.field("step", numberOf(request.transaction->step));
            writer.field("tx", request.transaction->id.value());
        }
        writer.endObject();
    }

    bool read(const Json::Value& object, Instant now, StatementRequest& request)
    {
        request.organisation = OrganisationId(object["shop"].asString());
        request.session = SessionId(object["session"].asString());
        request.id = RequestId(object["id"].asString());
        request.workload = ClassName(object["class"].asString());
        request.database = DatabaseId(object["db"].asString());
        request.statement.text = object["sql"].asString();
        for (const auto& it : object["args"])
            request.statement.parameters.push_back(decodeSqlValue(it));
        if (object.isMember("age"))
            request.greatestAge = Milliseconds(object["age"].asDouble());
        request.deadline = now + Milliseconds(object["left"].asDouble());
        if (object.isMember("step")) {
            TransactionPart part;
            part.id = TransactionId(object["tx"].asString());
            if (!read(object["step"], TransactionStep::Rollback, part.step))
                return false;
            request.transaction = part;
        }
        return read(object["mode"], AccessMode::Write, request.mode)
            && read(object["rep"], Repeatability::NotRepeatable, request.repeatability);
    }

    void write(JsonWriter& writer, const StatementAnswer& answer)
    {
        writer.beginObject();
        writer.field("id", answer.id.value());
        writer.field("code", numberOf(answer.code));
        writer.field("text", answer.message);
        writeRows(writer, answer.rows);
        writer.field("ack", numberOf(answer.ackLevel));
        writer.field("tx", answer.transaction.value());
        writer.field("target", answer.target.value());
        writer.field("age", answer.age.count());
        writer.field("retry", answer.retryAfter.count());
        writer.endObject();
    }

    bool read(const Json::Value& object, StatementAnswer& answer)
    {
        if (!object["code"].isUInt() || !isResultCode(object["code"].asUInt()))
            return false;
        answer.code = static_cast<ResultCode>(object["code"].asUInt());
        answer.id = RequestId(object["id"].asString());
        answer.message = object["text"].asString();
        answer.rows = decodeRows(object);
        answer.transaction = TransactionId(object["tx"].asString());
        answer.target = TargetId(object["target"].asString());
        answer.age = Milliseconds(object["age"].asDouble());
        answer.retryAfter = Milliseconds(object["retry"].asDouble());
        return read(object["ack"], AckLevel::Replicated, answer.ackLevel);
    }

    void write(JsonWriter& writer, const TargetView& view, Instant now)
    {
        writer.beginObject();
        writer.field("target", view.target.value());
        writer.field("role", numberOf(view.status.role));
        writer.field("term", view.status.term.value());
        writer.field("log", view.status.logTerm.value());
        writer.field("pos", view.status.position.value());
        writer.field("applied", view.status.applied.value());
        writer.field("age", view.status.age.count());
        writer.key("leaving");
        writer.boolean(view.status.isLeaving);
        writer.key("suspect");
        writer.boolean(view.isSuspect);
        if (view.lastAnswerAt != Instant())
            writer.field("ago", (now - view.lastAnswerAt).count());
        writer.endObject();
    }

    bool read(const Json::Value& object, Instant now, TargetView& view)
    {
        view.target = TargetId(object["target"].asString());
        view.status.term = Term(object["term"].asUInt64());
        view.status.logTerm = Term(object["log"].asUInt64());
        view.status.position = LogPosition(object["pos"].asUInt64());
        view.status.applied = LogPosition(object["applied"].asUInt64());
        view.status.age = Milliseconds(object["age"].asDouble());
        view.status.isLeaving = object["leaving"].asBool();
        view.isSuspect = object["suspect"].asBool();
        if (object.isMember("ago"))
            view.lastAnswerAt = now - Milliseconds(object["ago"].asDouble());
        return read(object["role"], TargetRole::Replica, view.status.role);
    }

    void write(JsonWriter& writer, const GroupView& view, Instant now)
    {
        writer.beginObject();
        writer.field("db", view.database.value());
        writer.field("term", view.term.value());
        writer.field("primary", view.primary.value());
        writer.key("targets");
        writer.beginArray();
        for (const auto& it : view.targets)
            write(writer, it, now);
        writer.endArray();
        writer.endObject();
    }

    bool read(const Json::Value& object, Instant now, GroupView& view)
    {
        view.database = DatabaseId(object["db"].asString());
        view.term = Term(object["term"].asUInt64());
        view.primary = TargetId(object["primary"].asString());
        for (const auto& it : object["targets"]) {
            if (!read(it, now, view.targets.emplace_back()))
                return false;
        }
        return true;
    }

    /// Parses a message and reads its fields with `readMessage`. A jsoncpp exception for a value that cannot be
    /// converted is returned as MalformedInput.
    template <typename Message, typename Reader>
    absl::StatusOr<Message> decode(std::string_view text, Reader readMessage)
    {
        const auto object = parseJsonObject(text);
        if (!object.ok())
            return object.status();
        try {
            Message message;
            if (!readMessage(*object, message))
                return malformed("an enumeration value or a result code is out of range");
            return message;
        } catch (const Json::Exception& ec) {
            return malformed(ec.what());
        }
    }

}

std::string encodeHomeCall(const HomeCall& call, Instant now)
{
    JsonWriter writer;
    writer.beginObject();
    writer.field("op", numberOf(call.operation));
    writer.field("target", call.target.value());
    writer.field("min", call.minimumPosition.value());
    writer.field("term", call.minimumTerm.value());
    writer.field("age", call.greatestAge.count());
    writer.key("req");
    write(writer, call.request, now);
    writer.endObject();
    return writer.takeText();
}

absl::StatusOr<HomeCall> decodeHomeCall(std::string_view text, Instant now)
{
    return decode<HomeCall>(text, [now](const Json::Value& object, HomeCall& call) {
        call.target = TargetId(object["target"].asString());
        call.minimumPosition = LogPosition(object["min"].asUInt64());
        call.minimumTerm = Term(object["term"].asUInt64());
        call.greatestAge = Milliseconds(object["age"].asDouble());
        return read(object["op"], HomeOperation::Ping, call.operation)
            && read(object["req"], now, call.request);
    });
}

std::string encodeHomeReply(const HomeReply& reply, Instant now)
{
    JsonWriter writer;
    writer.beginObject();
    writer.key("ans");
    write(writer, reply.answer);
    writer.field("term", reply.term.value());
    writer.field("pos", reply.position.value());
    writer.key("view");
    write(writer, reply.view, now);
    writer.endObject();
    return writer.takeText();
}

absl::StatusOr<HomeReply> decodeHomeReply(std::string_view text, Instant now)
{
    return decode<HomeReply>(text, [now](const Json::Value& object, HomeReply& reply) {
        reply.term = Term(object["term"].asUInt64());
        reply.position = LogPosition(object["pos"].asUInt64());
        return read(object["ans"], reply.answer) && read(object["view"], now, reply.view);
    });
}

}
