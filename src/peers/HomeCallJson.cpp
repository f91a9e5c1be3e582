#include "peers/HomeCallJson.h"

#include "base/ResultCode.h"
#include "statements/JsonText.h"

#include <absl/strings/str_cat.h>

// Names of fields are short, since every forwarded statement carries them.

namespace parsleypaddle {

namespace {

    absl::Status malformed(const char* what)
    {
        return makeError(ResultCode::MalformedInput, absl::StrCat("message between daemons: ", what));
    }

    /// The enumerator of a number on the wire; false when it is past `last`.
    template <typename Enum>
    bool read(const Json::Value& value, Enum last, Enum& result)
    {
        if (!value.isUInt() || value.asUInt() > static_cast<unsigned>(last))
            return false;
        result = static_cast<Enum>(value.asUInt());
        return true;
    }

    template <typename Enum>
    Json::Value number(Enum value)
    {
        return static_cast<unsigned>(value);
    }

    Json::Value jsonOf(const SqlValue& value)
    {
        return value ? Json::Value(*value) : Json::Value();
    }

    SqlValue sqlValueOf(const Json::Value& value)
    {
        return value.isNull() ? SqlValue() : SqlValue(value.asString());
    }

    template <typename Ordinal>
    Json::Value jsonOf(Ordinal value)
    {
        return Json::UInt64(value.value());
    }

    Json::Value jsonOf(const StatementRequest& request, Instant now)
    {
        Json::Value object(Json::objectValue);
        object["shop"] = request.shop.value();
        object["session"] = request.session.value();
        object["id"] = request.id.value();
        object["class"] = request.workload.value();
        object["db"] = request.database.value();
        object["sql"] = request.statement.text;
        Json::Value& parameters = object["args"] = Json::Value(Json::arrayValue);
        for (const auto& it : request.statement.parameters)
            parameters.append(jsonOf(it));
        object["mode"] = number(request.mode);
        object["rep"] = number(request.repeatability);
        if (request.greatestAge)
            object["age"] = request.greatestAge->count();
        object["left"] = (request.deadline - now).count();
        if (request.transaction) {
            object["step"] = number(request.transaction->step);
            object["tx"] = request.transaction->id.value();
        }
        return object;
    }

    bool read(const Json::Value& object, Instant now, StatementRequest& request)
    {
        request.shop = ShopId(object["shop"].asString());
        request.session = SessionId(object["session"].asString());
        request.id = RequestId(object["id"].asString());
        request.workload = ClassName(object["class"].asString());
        request.database = DatabaseId(object["db"].asString());
        request.statement.text = object["sql"].asString();
        for (const auto& it : object["args"])
            request.statement.parameters.push_back(sqlValueOf(it));
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

    Json::Value jsonOf(const StatementAnswer& answer)
    {
        Json::Value object(Json::objectValue);
        object["id"] = answer.id.value();
        object["code"] = number(answer.code);
        object["text"] = answer.message;
        Json::Value& columns = object["cols"] = Json::Value(Json::arrayValue);
        for (const auto& it : answer.rows.columns)
            columns.append(it);
        Json::Value& rows = object["rows"] = Json::Value(Json::arrayValue);
        for (const auto& row : answer.rows.values) {
            Json::Value& line = rows.append(Json::Value(Json::arrayValue));
            for (const auto& value : row)
                line.append(jsonOf(value));
        }
        object["changed"] = Json::UInt64(answer.rows.changed);
        object["ack"] = number(answer.ackLevel);
        object["tx"] = answer.transaction.value();
        object["target"] = answer.target.value();
        object["age"] = answer.age.count();
        object["retry"] = answer.retryAfter.count();
        return object;
    }

    bool read(const Json::Value& object, StatementAnswer& answer)
    {
        if (!object["code"].isUInt() || !isResultCode(object["code"].asUInt()))
            return false;
        answer.code = static_cast<ResultCode>(object["code"].asUInt());
        answer.id = RequestId(object["id"].asString());
        answer.message = object["text"].asString();
        for (const auto& it : object["cols"])
            answer.rows.columns.push_back(it.asString());
        for (const auto& line : object["rows"]) {
            auto& row = answer.rows.values.emplace_back();
            for (const auto& it : line)
                row.push_back(sqlValueOf(it));
        }
        answer.rows.changed = object["changed"].asUInt64();
        answer.transaction = TransactionId(object["tx"].asString());
        answer.target = TargetId(object["target"].asString());
        answer.age = Milliseconds(object["age"].asDouble());
        answer.retryAfter = Milliseconds(object["retry"].asDouble());
        return read(object["ack"], AckLevel::Replicated, answer.ackLevel);
    }

    Json::Value jsonOf(const TargetView& view, Instant now)
    {
        Json::Value object(Json::objectValue);
        object["target"] = view.target.value();
        object["role"] = number(view.status.role);
        object["term"] = jsonOf(view.status.term);
        object["log"] = jsonOf(view.status.logTerm);
        object["pos"] = jsonOf(view.status.position);
        object["applied"] = jsonOf(view.status.applied);
        object["age"] = view.status.age.count();
        object["leaving"] = view.status.isLeaving;
        object["suspect"] = view.isSuspect;
        if (view.heardAt != Instant())
            object["ago"] = (now - view.heardAt).count();
        return object;
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
            view.heardAt = now - Milliseconds(object["ago"].asDouble());
        return read(object["role"], TargetRole::Replica, view.status.role);
    }

    Json::Value jsonOf(const GroupView& view, Instant now)
    {
        Json::Value object(Json::objectValue);
        object["db"] = view.database.value();
        object["term"] = jsonOf(view.term);
        object["primary"] = view.primary.value();
        Json::Value& targets = object["targets"] = Json::Value(Json::arrayValue);
        for (const auto& it : view.targets)
            targets.append(jsonOf(it, now));
        return object;
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

    /// Parses and reads a message; jsoncpp throws when a value cannot be converted.
    template <typename Message, typename Reader>
    absl::StatusOr<Message> decode(std::string_view text, Reader readMessage)
    {
        const auto object = parseJsonObject(text);
        if (!object.ok())
            return object.status();
        try {
            Message message;
            if (!readMessage(*object, message))
                return malformed("a value out of its range");
            return message;
        } catch (const Json::Exception& ec) {
            return malformed(ec.what());
        }
    }

}

std::string encodeHomeCall(const HomeCall& call, Instant now)
{
    Json::Value object(Json::objectValue);
    object["op"] = number(call.operation);
    object["target"] = call.target.value();
    object["min"] = jsonOf(call.minimumPosition);
    object["term"] = jsonOf(call.minimumTerm);
    object["age"] = call.greatestAge.count();
    object["req"] = jsonOf(call.request, now);
    return writeJson(object);
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
    Json::Value object(Json::objectValue);
    object["ans"] = jsonOf(reply.answer);
    object["term"] = jsonOf(reply.term);
    object["pos"] = jsonOf(reply.position);
    object["view"] = jsonOf(reply.view, now);
    return writeJson(object);
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
