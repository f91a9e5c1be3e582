#include "platform/DirectoryCodec.h"
#include "platform/InstanceSettings.h"
#include "platform/JsonFields.h"
#include "platform/StoreCodec.h"
#include "platform/TargetDecoder.h"
#include "statements/JsonText.h"
#include "tests/fuzz/FuzzTargets.h"

#include <absl/strings/escaping.h>
#include <cmath>

namespace parsleypaddle::fuzz {

using namespace platform;

namespace {

    constexpr PlatformEra era { 2 };

    void checkStatus(const absl::Status& status)
    {
        expect(status.ok() || !status.message().empty(), "an error says what is wrong");
    }

    bool isFinite(Milliseconds duration)
    {
        return std::isfinite(duration.count());
    }

    StoredRow targetRow(std::string key, std::string_view value, uint64_t version)
    {
        return { "servers", std::move(key), std::string(value), RowVersion(era, version), false };
    }

    void checkEntry(const TargetEntry& entry)
    {
        expect(isName(entry.target.id.value()) && isName(entry.target.group.value()) && isName(entry.target.failureDomain.value()), "the names of a target can be sent as words");
        expect(entry.target.address.port != 0 && !entry.target.address.host.empty(), "a target has an address");
    }

    /// The keys of callers in a configuration.
    std::vector<std::string> keysIn(const Json::Value& configuration)
    {
        std::vector<std::string> keys;
        for (const auto& tenant : configuration["tenants"]) {
            if (!tenant.isObject())
                continue;
            for (const auto& key : tenant["api-keys"]) {
                if (key.isString())
                    keys.push_back(key.asString());
            }
        }
        return keys;
    }

    size_t countOf(std::string_view text, std::string_view part)
    {
        size_t count = 0;
        for (size_t at = text.find(part); at != std::string_view::npos; at = text.find(part, at + part.size()))
            ++count;
        return count;
    }

    // A key may also stand in a field that an error quotes, so only one that the text holds once is a secret.
    void checkSecrets(const std::string& json, const absl::Status& status)
    {
        constexpr size_t smallestKey = 8;
        const auto value = parseObject(json);
        if (!value.ok())
            return;
        for (const auto& key : keysIn(*value)) {
            if (key.size() >= smallestKey && countOf(json, key) == 1)
                expect(status.message().find(key) == absl::string_view::npos, "an error contains no key of an organisation");
        }
    }

    /// A response of the platform with these rows.
    std::string encodeRowsPage(const RowsPage& page)
    {
        Json::Value body(Json::objectValue);
        body["schema-version"] = Json::UInt64(page.response.version.number());
        body["current-time-ms"] = page.response.platformTime.sinceEpoch();
        body["has-more"] = page.hasMore;
        body["rows"] = Json::Value(Json::arrayValue);
        for (const auto& it : page.response.rows) {
            Json::Value row(Json::objectValue);
            row["table"] = it.table;
            row["key"] = it.key;
            row["value"] = absl::Base64Escape(it.value);
            row["schema-version"] = Json::UInt64(it.version.number());
            row["deleted"] = it.isDeleted;
            body["rows"].append(std::move(row));
        }
        return writeJson(body);
    }

    bool isSame(const StoredRow& a, const StoredRow& b)
    {
        return a.table == b.table && a.key == b.key && a.value == b.value && a.version == b.version && a.isDeleted == b.isDeleted;
    }

    bool isSame(const RowsPage& a, const RowsPage& b)
    {
        bool isSameRows = a.response.rows.size() == b.response.rows.size();
        for (size_t n = 0; isSameRows && n < a.response.rows.size(); ++n)
            isSameRows = isSame(a.response.rows[n], b.response.rows[n]);
        return isSameRows && a.response.version == b.response.version && a.response.platformTime == b.response.platformTime && a.hasMore == b.hasMore;
    }

    void checkTransaction(const std::vector<StoredRow>& rows)
    {
        RowsTransaction transaction;
        for (const auto& it : rows) {
            transaction.expected.push_back({ it.table, it.key, it.version });
            transaction.writes.push_back({ it.table, it.key, it.value });
        }
        const auto body = parseObject(encodeTransaction(transaction));
        expect(body.ok(), "a transaction is a JSON object");
        const Json::Value& writes = (*body)["set-keys"];
        expect(writes.size() == rows.size(), "a transaction has all writes");
        for (Json::ArrayIndex n = 0; n < writes.size(); ++n) {
            std::string value;
            expect(absl::Base64Unescape(writes[n]["value"].asString(), &value) && value == rows[n].value, "a transaction writes the value that was given");
            expect(writes[n]["table"] == rows[n].table && writes[n]["key"] == rows[n].key, "a transaction writes the row that was given");
        }
    }

    struct DecodedTargets {
        std::vector<TargetEntry> entries;
        size_t malformed { 0 };
    };

    DecodedTargets decodeTargets(TargetDecoder& decoder, const TableWatch::Rows& rows)
    {
        DecodedTargets decoded;
        decoded.entries = decoder.decode(rows, [&decoded](const std::string&, const absl::Status& status) {
            expect(!status.ok(), "a malformed row is reported with an error");
            ++decoded.malformed;
        });
        return decoded;
    }

}

void fuzzJsonFields(std::string_view input)
{
    const auto value = parseObject(std::string(input));
    checkStatus(value.status());
    if (!value.ok())
        return;
    const auto again = parseObject(writeJson(*value));
    expect(again.ok() && *again == *value, "a JSON object is the same after writing and parsing");
    for (const auto& field : value->getMemberNames()) {
        JsonFields names(*value, "");
        const std::string name = names.name(field.c_str());
        expect(!names.status().ok() || isName(name), "a name that is read is a name");
        JsonFields addresses(*value, "");
        const TargetAddress address = addresses.address(field.c_str());
        expect(!addresses.status().ok() || (address.port != 0 && !address.host.empty()), "an address that is read has a host and a port");
        JsonFields numbers(*value, "");
        expect(numbers.unsignedInteger(field.c_str(), UINT16_MAX) <= UINT16_MAX || !numbers.status().ok(), "a number above its limit is an error");
        expect(std::isfinite(numbers.number(field.c_str())) && std::isfinite(numbers.optionalNumber(field.c_str(), 0)), "a number that is read is finite");
        JsonFields nested = JsonFields(*value, "outer.").object(field.c_str());
        nested.texts("texts");
        nested.optionalFlag("flag", true);
        checkStatus(nested.status());
    }
}

void fuzzConfiguration(std::string_view input)
{
    const std::string json(input);
    const auto table = decodeConfiguration(json);
    checkStatus(table.status());
    if (!table.ok()) {
        checkSecrets(json, table.status());
        return;
    }
    expect(isFinite((*table)->transactionIdleTimeout), "the configuration's times are finite");
    for (const auto& [database, route] : (*table)->routes) {
        expect(route && route->database == database, "a route is found by its database");
        expect(isFinite(route->greatestAge) && isFinite(route->statementTimeout) && isFinite(route->latencyObjective), "a route's times are finite");
    }
}

void fuzzTargetEntry(std::string_view input)
{
    const auto entry = decodeTargetEntry(targetRow("i-7f3a91c2", input, 1));
    checkStatus(entry.status());
    if (entry.ok())
        checkEntry(*entry);
}

// Each line changes the row whose key is its first byte; a line without more deletes the row.
void fuzzTargetRows(std::string_view input)
{
    constexpr uint64_t mostLines = 64;
    TargetDecoder decoder;
    TableWatch::Rows rows;
    for (uint64_t version = 1; version <= mostLines && !input.empty(); ++version) {
        const std::string_view line = input.substr(0, input.find('\n'));
        input.remove_prefix(std::min(input.size(), line.size() + 1));
        const std::string key(line.substr(0, 1));
        if (line.size() <= 1)
            rows.erase(key);
        else
            rows[key] = targetRow(key, line.substr(1), version);
        const DecodedTargets changed = decodeTargets(decoder, rows);
        TargetDecoder other;
        const DecodedTargets whole = decodeTargets(other, rows);
        expect(whole.entries.size() + whole.malformed == rows.size(), "each row is a target or is reported");
        expect(changed.malformed <= 1, "a malformed row is reported once");
        expect(changed.entries.size() == whole.entries.size(), "a changed table has the targets of one that is read as a whole");
        for (size_t n = 0; n < whole.entries.size(); ++n) {
            checkEntry(whole.entries[n]);
            expect(changed.entries[n].target.id == whole.entries[n].target.id && changed.entries[n].sequence == whole.entries[n].sequence, "a changed row replaces the earlier one");
        }
    }
}

void fuzzRowsPage(std::string_view input)
{
    const auto page = decodeRows(std::string(input), era);
    checkStatus(page.status());
    if (!page.ok())
        return;
    for (const auto& it : page->response.rows)
        expect(it.version.era() == era, "a row has the era of the response");
    const auto again = decodeRows(encodeRowsPage(*page), era);
    expect(again.ok() && again->skippedRows == 0 && isSame(*again, *page), "rows are the same after encoding and decoding");
    checkTransaction(page->response.rows);
}

void fuzzEraHeader(std::string_view input)
{
    const auto decoded = decodeEra(std::string(input));
    checkStatus(decoded.status());
    if (!decoded.ok())
        return;
    expect(decoded->value() <= RowVersion::maxEra, "an era fits into the version of a row");
    const auto again = decodeEra(std::to_string(decoded->value()));
    expect(again.ok() && *again == *decoded, "an era is the same after encoding and decoding");
}

void fuzzInstanceSettings(std::string_view input)
{
    const auto settings = decodeInstanceSettings(std::string(input));
    checkStatus(settings.status());
    if (!settings.ok())
        return;
    expect(settings->callerAddress.port != 0 && settings->readinessAddress.port != 0 && settings->tablesAddress.port != 0 && settings->promotionsAddress.port != 0, "an instance has its addresses");
    expect(settings->failureDomains.count(settings->failureDomain) == 1, "an instance's own failure domain is one of all");
    expect(isFinite(settings->gracePeriod) && isFinite(settings->maxLeavingTargetUse) && isFinite(settings->configurationBound) && isFinite(settings->revocation.limit), "the settings' times are finite");
    expect(settings->revocation.limit >= Milliseconds(0), "the time for keys that nothing confirms is not negative");
    expect(std::isfinite(settings->cores) && std::isfinite(settings->linkMbps), "the settings' sizes are finite");
}

}
