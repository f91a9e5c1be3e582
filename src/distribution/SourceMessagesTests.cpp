#include "distribution/SourceMessages.h"

#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

namespace {

/// A table that is compressed.
RowsAnswer largeTable()
{
    RowsAnswer answer;
    answer.version = RowVersion(78);
    for (uint64_t it = 1; it <= 100; ++it)
        answer.rows.push_back({ "targets", "target-" + std::to_string(it), "{\"address\":\"10.0.0." + std::to_string(it) + ":5432\",\"state\":\"ready\"}", RowVersion(it), false });
    return answer;
}

std::vector<std::string> someLines()
{
    RowsAnswer rows;
    rows.version = RowVersion(77);
    rows.platformTime = Instant(1234.5);
    rows.rows = { { "control", "group/a", "{\"text\":\"\\u00e9\"}", RowVersion(70), false }, { "control", "gone", "", RowVersion(71), true } };
    return {
        encodeSourceMessage(SubscribeMessage { InstanceId("one"), "first", { FailureDomainId("domain"), "10.0.0.1", 1, 2, 3, 0.25 } }),
        encodeSourceMessage(SubscribeMessage { InstanceId("one"), "first", { FailureDomainId("domain"), "10.0.0.1", 1, 2, 3, 0.25, 4, 10 } }),
        encodeSourceMessage(TableRequest { 7, "control", RowVersion(UINT64_MAX), true }),
        encodeSourceMessage(RenewMessage { 8, RowVersion(9), 10 }),
        encodeSourceMessage(ReceivedMessage { 13 }),
        encodeSourceMessage(LeaveMessage {}),
        encodeSourceMessage(LeaveMessage { true }),
        encodeSourceMessage(GrantMessage { 15, Milliseconds(2500), Milliseconds(4000), LeaseMember { InstanceId("two"), { FailureDomainId("domain"), "10.0.0.2", 1, 2, 3, 0.25 } } }),
        encodeSourceMessage(TableReply { 11, rows, true }),
        encodeSourceMessage(TableReply { 14, largeTable(), false }),
        encodeSourceMessage(GrantMessage { 12, Milliseconds(2500), Milliseconds(3.5) }),
        encodeSourceMessage(StopMessage {}),
    };
}

}

TEST_CASE("messages between daemons are the same after encoding and decoding", "[distribution]")
{
    for (const auto& it : someLines()) {
        CAPTURE(it);
        auto message = decodeSourceMessage(it);
        REQUIRE(message.ok());
        if (auto* reply = std::get_if<TableReply>(&*message))
            REQUIRE(decompressRows(*reply).ok());
        CHECK(encodeSourceMessage(*message) == it);
        CHECK(it.find('\n') == std::string::npos);
    }
}

TEST_CASE("rows that were encoded once are the same for each subscriber", "[distribution]")
{
    const EncodedRows rows = encodeRows(largeTable());
    CHECK(rows.text.size() < 3000);
    for (const uint64_t id : { 1U, 2U }) {
        auto message = decodeSourceMessage(encodeTableReply(id, rows, id == 2));
        REQUIRE(message.ok());
        auto& reply = std::get<TableReply>(*message);
        REQUIRE(decompressRows(reply).ok());
        CHECK(reply.id == id);
        CHECK(reply.needsConfirmation == (id == 2));
        REQUIRE(reply.answer.rows.size() == 100);
        CHECK(reply.answer.rows[99].key == "target-100");
        CHECK(reply.answer.version == RowVersion(78));
    }
}

TEST_CASE("damaged compressed rows are rejected", "[distribution]")
{
    const std::string line = encodeTableReply(1, encodeRows(largeTable()), false);
    const size_t begin = line.find('\t') + 20;
    for (size_t it = 0; it < 40; ++it) {
        std::string damaged = line;
        damaged[begin + it * 3] = damaged[begin + it * 3] == 'A' ? 'B' : 'A';
        CAPTURE(it);
        auto message = decodeSourceMessage(damaged);
        REQUIRE(message.ok());
        CHECK_FALSE(decompressRows(std::get<TableReply>(*message)).ok());
    }
}

TEST_CASE("a message says its protocol version, and another version is rejected", "[distribution]")
{
    CHECK(decodeSourceMessage(R"({"v":2,"kind":"leave"})").ok());
    const auto other = decodeSourceMessage(R"({"v":1,"kind":"leave"})");
    REQUIRE_FALSE(other.ok());
    CHECK(std::string(other.status().message()).find("protocol version 2") != std::string::npos);
}

TEST_CASE("an error names the field that is missing or has the wrong type", "[distribution]")
{
    const auto message = decodeSourceMessage(R"({"v":2,"kind":"renew","number":1,"epoch":"x","sessions":0})");
    REQUIRE_FALSE(message.ok());
    CHECK(std::string(message.status().message()).find("epoch") != std::string::npos);
}

TEST_CASE("fields that a later version adds are ignored", "[distribution]")
{
    CHECK(decodeSourceMessage(R"({"v":2,"kind":"grant","number":1,"duration_ms":5,"platform_age_ms":0,"further":[1]})").ok());
}

// Truncated, mutated, repeated and nested input.
TEST_CASE("no input makes the decoder of messages between daemons fail otherwise than with an error", "[distribution]")
{
    const auto seed = static_cast<uint64_t>(GENERATE(1, 2, 3));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto lines = someLines();
    for (int round = 0; round < 20'000; ++round) {
        std::string line = lines[random() % lines.size()];
        if (random() % 3 == 0)
            line.resize(random() % (line.size() + 1));
        for (auto n = random() % 4; n > 0 && !line.empty(); --n)
            line[random() % line.size()] = static_cast<char>(random());
        if (random() % 8 == 0)
            line += line;
        if (random() % 16 == 0)
            line.insert(0, random() % 2000, '[');
        auto message = decodeSourceMessage(line);
        absl::Status status = message.status();
        if (message.ok() && std::holds_alternative<TableReply>(*message))
            status = decompressRows(std::get<TableReply>(*message));
        if (!status.ok())
            CHECK_FALSE(status.message().empty());
    }
}
