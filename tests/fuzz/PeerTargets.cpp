#include "configuration/CompressedText.h"
#include "distribution/SourceMessages.h"
#include "failover/GroupRecord.h"
#include "leases/LeaseRow.h"
#include "leases/PlatformEraRow.h"
#include "net/DatagramPort.h"
#include "quotas/QuotaMessages.h"
#include "tests/fuzz/FuzzTargets.h"

#include <cmath>

namespace parsleypaddle::fuzz {

namespace {

    void checkStatus(const absl::Status& status)
    {
        expect(status.ok() || !status.message().empty(), "an error says what is wrong");
    }

    template <typename Message>
    size_t countEntries(const Message& message) { return message.entries.size(); }
    size_t countEntries(const QuotaExchange& message) { return message.update.claims.size(); }
    size_t countEntries(const QuotaConfirmation&) { return 0; }

    size_t entriesOf(const QuotaMessage& message)
    {
        return std::visit([](const auto& it) { return countEntries(it); }, message);
    }

    /// Encodes a message and decodes its datagrams.
    std::vector<QuotaMessage> resend(const QuotaMessage& message)
    {
        constexpr std::string_view protocolPrefix = "quota ";
        std::vector<QuotaMessage> received;
        for (const auto& it : encodeQuotaMessage(message)) {
            expect(it.size() <= DatagramPort::maxPayloadBytes && it.compare(0, protocolPrefix.size(), protocolPrefix) == 0, "a datagram has the protocol's name and is not fragmented");
            auto decoded = decodeQuotaMessage(std::string_view(it).substr(protocolPrefix.size()));
            expect(decoded.has_value(), "a datagram that is sent is received");
            expect(decoded->index() == message.index(), "a message that is sent is received as the same kind");
            received.push_back(*std::move(decoded));
        }
        return received;
    }

}

void fuzzSourceMessage(std::string_view input)
{
    auto message = decodeSourceMessage(input);
    checkStatus(message.status());
    if (!message.ok())
        return;
    if (auto* reply = std::get_if<TableReply>(&*message)) {
        const absl::Status status = decompressRows(*reply);
        checkStatus(status);
        if (!status.ok())
            return;
        expect(reply->compressedRows.empty(), "rows are decompressed once");
    }
    if (const auto* grant = std::get_if<GrantMessage>(&*message))
        expect(grant->duration >= Milliseconds(0) && grant->platformAge >= Milliseconds(0) && grant->configurationAge.value_or(Milliseconds(0)) >= Milliseconds(0), "a grant has no negative time");
    const std::string line = encodeSourceMessage(*message);
    expect(line.find('\n') == std::string::npos, "a message between daemons is one line");
    auto again = decodeSourceMessage(line);
    expect(again.ok() && again->index() == message->index(), "a message between daemons is received as the same kind");
    if (auto* reply = std::get_if<TableReply>(&*again))
        expect(decompressRows(*reply).ok() && reply->answer.rows.size() == std::get<TableReply>(*message).answer.rows.size(), "all rows are received");
    expect(encodeSourceMessage(*again) == line, "a message between daemons is the same after encoding and decoding");
}

void fuzzQuotaMessage(std::string_view input)
{
    const auto message = decodeQuotaMessage(input);
    if (!message)
        return;
    // Numbers are rounded when they are first sent.
    size_t entries = 0;
    for (const auto& sent : resend(*message)) {
        entries += entriesOf(sent);
        const auto received = resend(sent);
        expect(received.size() == 1 && encodeQuotaMessage(received.front()) == encodeQuotaMessage(sent), "a datagram is the same after encoding and decoding");
    }
    expect(entries == entriesOf(*message), "all entries of a message are received");
}

void fuzzLeaseRow(std::string_view input)
{
    const auto row = decodeLeaseRow(std::string(input));
    checkStatus(row.status());
    const std::string key(input);
    expect(leaseInstance(leaseKey(leaseInstance(key), "incarnation")) == leaseInstance(key), "the key of a row tells its instance");
    if (!row.ok())
        return;
    expect(std::isfinite(row->requestedAt.sinceEpoch()) && std::isfinite(row->duration.count()), "the times of a lease are finite");
    const std::string text = encodeLeaseRow(*row);
    const auto again = decodeLeaseRow(text);
    expect(again.ok() && encodeLeaseRow(*again) == text, "a lease is the same after encoding and decoding");
    expect(again->members.size() == row->members.size() && again->requestedAt == row->requestedAt && again->duration == row->duration, "a lease has the same times and members");
    expect(isExpired(*again, Instant(0)) == isExpired(*row, Instant(0)), "a lease expires at the same time");
}

void fuzzEraRow(std::string_view input)
{
    const StoredRow stored { "control", eraKey(PlatformEra(2)), std::string(input), RowVersion(PlatformEra(2), 7), false };
    const auto row = decodeEraRow(stored);
    checkStatus(row.status());
    if (!row.ok())
        return;
    expect(std::isfinite(row->beganAt.sinceEpoch()), "an era begins at a finite time");
    StoredRow written = stored;
    written.value = encodeEraRow(row->beganAt);
    const auto again = decodeEraRow(written);
    expect(again.ok() && again->beganAt == row->beganAt && again->version == row->version, "an era is the same after encoding and decoding");
}

void fuzzGroupRecord(std::string_view input)
{
    const auto record = decodeGroupRecord(std::string(input));
    checkStatus(record.status());
    if (!record.ok())
        return;
    expect(std::isfinite(record->unansweredUntil.sinceEpoch()), "a call without an answer takes effect at a finite time");
    const std::string text = encodeGroupRecord(*record);
    const auto again = decodeGroupRecord(text);
    expect(again.ok() && encodeGroupRecord(*again) == text, "a group record is the same after encoding and decoding");
    expect(again->phase == record->phase && again->primary == record->primary && again->term == record->term && again->candidate == record->candidate, "a group record names the same primary and candidate");
    expect(again->unansweredCandidate == record->unansweredCandidate, "a group record names the same call without an answer");
}

void fuzzCompressedText(std::string_view input)
{
    const std::string text(input);
    const auto decompressed = decompressText(text);
    checkStatus(decompressed.status());
    if (decompressed.ok()) {
        const auto again = decompressText(compressText(*decompressed));
        expect(again.ok() && *again == *decompressed, "a decompressed text is the same after compressing and decompressing");
    }
    const std::string compressed = compressText(text);
    const auto restored = decompressText(compressed);
    expect(restored.ok() && *restored == text, "a text is the same after compressing and decompressing");
    for (const size_t cut : { size_t { 1 }, size_t { 4 }, compressed.size() / 2 }) {
        if (cut == 0 || cut >= compressed.size())
            continue;
        const auto partial = decompressText(compressed.substr(0, compressed.size() - cut));
        expect(!partial.ok() || *partial == text, "a part of a compressed text is not taken for the whole");
    }
}

}
