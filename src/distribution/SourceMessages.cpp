#include "distribution/SourceMessages.h"

#include "base/ResultCode.h"
#include "configuration/CompressedText.h"
#include "statements/JsonText.h"

#include <array>
#include <json/value.h>

namespace parsleypaddle {

namespace {

    /// In version 1 the versions of rows had no era.
    constexpr unsigned protocolVersion = 2;
    /// Between the JSON object and the compressed rows. JSON texts hold no unescaped tab.
    constexpr char compressedRowsSeparator = '\t';
    /// Rows whose text is longer are compressed. Tables hold many similar rows, which shrink to a sixth or less.
    constexpr size_t maxPlainBytes = 512;

    /// Reads required fields of a JSON object and remembers the first that is missing or has the wrong type.
    class FieldReader {
    public:
        explicit FieldReader(const Json::Value& value)
            : m_value(value)
        {
        }

        bool has(const char* name) const { return m_value.isMember(name); }

        std::string text(const char* name)
        {
            const Json::Value& field = m_value[name];
            check(name, field.isString());
            return field.isString() ? field.asString() : std::string();
        }

        uint64_t number(const char* name)
        {
            const Json::Value& field = m_value[name];
            check(name, field.isUInt64());
            return field.isUInt64() ? field.asUInt64() : 0;
        }

        uint32_t shortNumber(const char* name, uint32_t limit)
        {
            const uint64_t n = number(name);
            check(name, n <= limit);
            return n <= limit ? static_cast<uint32_t>(n) : 0;
        }

        double real(const char* name)
        {
            const Json::Value& field = m_value[name];
            check(name, field.isNumeric());
            return field.isNumeric() ? field.asDouble() : 0;
        }

        /// An age that is below 0 would confirm what was never confirmed.
        Milliseconds duration(const char* name)
        {
            const double milliseconds = real(name);
            check(name, milliseconds >= 0);
            return Milliseconds(milliseconds);
        }

        bool flag(const char* name)
        {
            const Json::Value& field = m_value[name];
            check(name, field.isBool());
            return field.isBool() && field.asBool();
        }

        absl::Status status() const
        {
            if (m_fault.empty())
                return absl::OkStatus();
            return makeError(ResultCode::MissingField, "message between daemons: field " + m_fault + " is missing or has the wrong type");
        }

    private:
        void check(const char* name, bool isValid)
        {
            if (!isValid && m_fault.empty())
                m_fault = name;
        }

        const Json::Value& m_value;
        std::string m_fault;
    };

    template <typename Message>
    absl::StatusOr<SourceMessage> checked(const FieldReader& fields, Message message)
    {
        if (const auto status = fields.status(); !status.ok())
            return status;
        return SourceMessage(std::move(message));
    }

    void encodeAddresses(Json::Value& value, const PeerEndpoint& addresses)
    {
        value["failure_domain"] = addresses.failureDomain.value();
        value["host"] = addresses.host;
        value["platform_port"] = addresses.platformProxyPort;
        value["caller_port"] = addresses.callerPort;
        value["source_port"] = addresses.sourcePort;
        value["cores"] = addresses.cores;
        if (addresses.linkMbps > 0)
            value["link_mbps"] = addresses.linkMbps;
    }

    PeerEndpoint decodeAddresses(FieldReader& fields)
    {
        PeerEndpoint addresses;
        addresses.failureDomain = FailureDomainId(fields.text("failure_domain"));
        addresses.host = fields.text("host");
        addresses.platformProxyPort = static_cast<uint16_t>(fields.shortNumber("platform_port", UINT16_MAX));
        addresses.callerPort = static_cast<uint16_t>(fields.shortNumber("caller_port", UINT16_MAX));
        addresses.sourcePort = static_cast<uint16_t>(fields.shortNumber("source_port", UINT16_MAX));
        addresses.cores = fields.real("cores");
        // Daemons of the version before do not send it.
        if (fields.has("link_mbps"))
            addresses.linkMbps = fields.real("link_mbps");
        return addresses;
    }

    void encodeInto(Json::Value& value, const SubscribeMessage& message)
    {
        value["kind"] = "subscribe";
        value["instance"] = message.instance.value();
        value["incarnation"] = message.incarnation;
        encodeAddresses(value, message.addresses);
    }

    void encodeInto(Json::Value& value, const TableRequest& message)
    {
        value["kind"] = "watch";
        value["id"] = Json::UInt64(message.id);
        value["table"] = message.table;
        value["after"] = Json::UInt64(message.after.value());
        value["whole"] = message.isWhole;
    }

    void encodeInto(Json::Value& value, const RenewMessage& message)
    {
        value["kind"] = "renew";
        value["number"] = Json::UInt64(message.number);
        value["epoch"] = Json::UInt64(message.epoch.value());
        value["sessions"] = message.sessions;
    }

    void encodeInto(Json::Value& value, const ReceivedMessage& message)
    {
        value["kind"] = "received";
        value["id"] = Json::UInt64(message.id);
    }

    void encodeInto(Json::Value& value, const LeaveMessage& message)
    {
        value["kind"] = "leave";
        value["holds_row"] = message.holdsRow;
    }

    Json::Value encodeRowList(const std::vector<StoredRow>& list)
    {
        Json::Value rows(Json::arrayValue);
        for (const auto& it : list) {
            Json::Value row(Json::objectValue);
            row["table"] = it.table;
            row["key"] = it.key;
            row["value"] = it.value;
            row["version"] = Json::UInt64(it.version.value());
            row["deleted"] = it.isDeleted;
            rows.append(std::move(row));
        }
        return rows;
    }

    // Returns the text that follows the JSON object of the line.
    std::string encodeInto(Json::Value& value, const RowsAnswer& answer)
    {
        value["kind"] = "rows";
        value["version"] = Json::UInt64(answer.version.value());
        value["platform_time"] = answer.platformTime.sinceEpoch();
        value["history_lost"] = answer.isHistoryLost;
        Json::Value list(Json::objectValue);
        list["rows"] = encodeRowList(answer.rows);
        const std::string text = writeJson(list);
        if (text.size() > maxPlainBytes)
            return compressedRowsSeparator + compressText(text);
        value["rows"] = std::move(list["rows"]);
        return "";
    }

    // Table replies are encoded by encodeTableReply().
    void encodeInto(Json::Value&, const TableReply&) { }

    void encodeInto(Json::Value& value, const GrantMessage& message)
    {
        value["kind"] = "grant";
        value["number"] = Json::UInt64(message.number);
        value["duration_ms"] = message.duration.count();
        value["platform_age_ms"] = message.platformAge.count();
        if (message.configurationAge)
            value["configuration_age_ms"] = message.configurationAge->count();
        if (!message.newHolder)
            return;
        Json::Value& holder = value["new_holder"];
        holder["instance"] = message.newHolder->instance.value();
        encodeAddresses(holder, message.newHolder->addresses);
    }

    void encodeInto(Json::Value& value, const StopMessage&)
    {
        value["kind"] = "stop";
    }

    absl::StatusOr<SourceMessage> decodeSubscribe(const Json::Value& value)
    {
        FieldReader fields(value);
        SubscribeMessage message;
        message.instance = InstanceId(fields.text("instance"));
        message.incarnation = fields.text("incarnation");
        message.addresses = decodeAddresses(fields);
        return checked(fields, std::move(message));
    }

    absl::StatusOr<SourceMessage> decodeWatch(const Json::Value& value)
    {
        FieldReader fields(value);
        TableRequest message;
        message.id = fields.number("id");
        message.table = fields.text("table");
        message.after = RowVersion(fields.number("after"));
        message.isWhole = fields.flag("whole");
        return checked(fields, std::move(message));
    }

    absl::StatusOr<SourceMessage> decodeRenew(const Json::Value& value)
    {
        FieldReader fields(value);
        RenewMessage message;
        message.number = fields.number("number");
        message.epoch = RowVersion(fields.number("epoch"));
        message.sessions = fields.shortNumber("sessions", UINT32_MAX);
        return checked(fields, message);
    }

    absl::StatusOr<SourceMessage> decodeReceived(const Json::Value& value)
    {
        FieldReader fields(value);
        ReceivedMessage message;
        message.id = fields.number("id");
        return checked(fields, message);
    }

    absl::Status decodeRowList(const Json::Value& rows, std::vector<StoredRow>& list)
    {
        if (!rows.isArray())
            return makeError(ResultCode::MissingField, "message between daemons: field rows is missing or has the wrong type");
        for (const auto& it : rows) {
            if (!it.isObject())
                return makeError(ResultCode::MissingField, "message between daemons: a row is not a JSON object");
            FieldReader row(it);
            list.push_back({ row.text("table"), row.text("key"), row.text("value"), RowVersion(row.number("version")), row.flag("deleted") });
            if (auto status = row.status(); !status.ok())
                return status;
        }
        return absl::OkStatus();
    }

    absl::StatusOr<SourceMessage> decodeRows(const Json::Value& value)
    {
        FieldReader fields(value);
        TableReply message;
        message.id = fields.number("id");
        message.needsConfirmation = fields.flag("confirm");
        message.answer.version = RowVersion(fields.number("version"));
        message.answer.platformTime = Instant(fields.real("platform_time"));
        message.answer.isHistoryLost = fields.flag("history_lost");
        if (value.isMember("rows")) {
            if (const auto status = decodeRowList(value["rows"], message.answer.rows); !status.ok())
                return status;
        }
        return checked(fields, std::move(message));
    }

    absl::StatusOr<SourceMessage> decodeGrant(const Json::Value& value)
    {
        FieldReader fields(value);
        GrantMessage message;
        message.number = fields.number("number");
        message.duration = fields.duration("duration_ms");
        message.platformAge = fields.duration("platform_age_ms");
        if (fields.has("configuration_age_ms"))
            message.configurationAge = fields.duration("configuration_age_ms");
        if (!value.isMember("new_holder"))
            return checked(fields, message);
        const Json::Value& holder = value["new_holder"];
        if (!holder.isObject())
            return makeError(ResultCode::MissingField, "message between daemons: field new_holder is not a JSON object");
        FieldReader holderFields(holder);
        message.newHolder = LeaseMember { InstanceId(holderFields.text("instance")), decodeAddresses(holderFields) };
        if (const auto status = holderFields.status(); !status.ok())
            return status;
        return checked(fields, std::move(message));
    }

    // Sources of the version before send and read the message without the field.
    absl::StatusOr<SourceMessage> decodeLeave(const Json::Value& value)
    {
        return SourceMessage(LeaveMessage { value["holds_row"].isBool() && value["holds_row"].asBool() });
    }

    absl::StatusOr<SourceMessage> decodeStop(const Json::Value&)
    {
        return SourceMessage(StopMessage {});
    }

    struct Decoder {
        const char* kind;
        absl::StatusOr<SourceMessage> (*decode)(const Json::Value&);
    };

    constexpr std::array<Decoder, 8> decoders { {
        { "renew", decodeRenew },
        { "grant", decodeGrant },
        { "watch", decodeWatch },
        { "rows", decodeRows },
        { "received", decodeReceived },
        { "subscribe", decodeSubscribe },
        { "leave", decodeLeave },
        { "stop", decodeStop },
    } };

}

EncodedRows encodeRows(const RowsAnswer& answer)
{
    Json::Value value(Json::objectValue);
    value["v"] = protocolVersion;
    const std::string compressed = encodeInto(value, answer);
    return { writeJson(value) + compressed };
}

std::string encodeTableReply(uint64_t id, const EncodedRows& rows, bool needsConfirmation)
{
    // The text begins with a JSON object with several members.
    return "{\"id\":" + std::to_string(id) + (needsConfirmation ? ",\"confirm\":true," : ",\"confirm\":false,") + rows.text.substr(1);
}

std::string encodeSourceMessage(const SourceMessage& message)
{
    if (const auto* reply = std::get_if<TableReply>(&message))
        return encodeTableReply(reply->id, encodeRows(reply->answer), reply->needsConfirmation);
    Json::Value value(Json::objectValue);
    value["v"] = protocolVersion;
    std::visit([&value](const auto& it) { encodeInto(value, it); }, message);
    return writeJson(value);
}

absl::StatusOr<SourceMessage> decodeSourceMessage(std::string_view line)
{
    const size_t separator = line.find(compressedRowsSeparator);
    const auto object = parseJsonObject(line.substr(0, separator));
    if (!object.ok())
        return makeError(ResultCode::MalformedInput, "message between daemons: expected a JSON object");
    const Json::Value& version = (*object)["v"];
    if (!version.isUInt() || version.asUInt() != protocolVersion)
        return makeError(ResultCode::MalformedInput, "message between daemons: expected protocol version " + std::to_string(protocolVersion));
    const std::string kind = (*object)["kind"].isString() ? (*object)["kind"].asString() : "";
    for (const auto& it : decoders) {
        if (kind != it.kind)
            continue;
        auto message = it.decode(*object);
        if (message.ok() && separator != std::string_view::npos) {
            if (auto* reply = std::get_if<TableReply>(&*message))
                reply->compressedRows = std::string(line.substr(separator + 1));
        }
        return message;
    }
    return makeError(ResultCode::MalformedInput, "message between daemons: unknown kind");
}

absl::Status decompressRows(TableReply& reply)
{
    if (reply.compressedRows.empty())
        return absl::OkStatus();
    const auto text = decompressText(reply.compressedRows);
    if (!text.ok())
        return text.status();
    const auto object = parseJsonObject(*text);
    if (!object.ok())
        return makeError(ResultCode::MalformedInput, "message between daemons: the decompressed rows are not a JSON object");
    reply.compressedRows.clear();
    return decodeRowList((*object)["rows"], reply.answer.rows);
}

}
