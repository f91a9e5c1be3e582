#include "net/DatagramPort.h"
#include "quotas/QuotaMessages.h"

#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

namespace {

constexpr size_t prefixBytes = 6;

std::optional<QuotaMessage> roundTrip(const QuotaMessage& message)
{
    const auto datagrams = encodeQuotaMessage(message);
    REQUIRE(datagrams.size() == 1);
    REQUIRE(datagrams.front().substr(0, prefixBytes) == "quota ");
    return decodeQuotaMessage(std::string_view(datagrams.front()).substr(prefixBytes));
}

QuotaReport exampleReport()
{
    QuotaReport report;
    report.instance = InstanceId("node-7");
    report.number = 1'700'000'000'123;
    report.coordinator = 1'700'000'000'001;
    report.entries.push_back({ OrganisationId("a b.c %"), 12.5, { 16.25, 4 }, Milliseconds(1500), 3, 77, 9 });
    report.entries.push_back({ OrganisationId("plain"), 0.05, {}, Milliseconds(0), 0, 0, 0 });
    return report;
}

QuotaExchange exampleExchange(size_t claims)
{
    QuotaExchange exchange { FailureDomainId("z1"), { 5, 0, claims, claims, 4, 9, {} } };
    for (size_t n = 1; n <= claims; ++n)
        exchange.update.claims.push_back({ OrganisationId("organisation-" + std::to_string(n)), 1.5, 0.25, n });
    return exchange;
}

}

TEST_CASE("a report arrives as it was sent", "[quotas]")
{
    const auto decoded = roundTrip(exampleReport());
    REQUIRE(decoded);
    const auto& it = std::get<QuotaReport>(*decoded);
    CHECK(it.instance == InstanceId("node-7"));
    CHECK(it.number == 1'700'000'000'123);
    CHECK(it.coordinator == 1'700'000'000'001);
    REQUIRE(it.entries.size() == 2);
    CHECK(it.entries[0].organisation == OrganisationId("a b.c %"));
    CHECK(it.entries[0].held.amount == 16.25);
    CHECK(it.entries[0].heldFor == Milliseconds(1500));
    CHECK(it.entries[0].confirmed == 77);
    CHECK(it.entries[0].returned == 9);
    CHECK(it.entries[1].demand == 0.05);
}

TEST_CASE("an answer, a transfer and a beat arrive as they were sent", "[quotas]")
{
    QuotaAnswer answer { 9, 8, true, { "10.0.0.1", 4711 }, { { OrganisationId("a"), { 1.5, 2 }, 3, 0.25, true, 12 } } };
    const auto decoded = roundTrip(answer);
    REQUIRE(decoded);
    const auto& it = std::get<QuotaAnswer>(*decoded);
    CHECK(it.coordinatorAddress.host == "10.0.0.1");
    CHECK(it.coordinatorAddress.port == 4711);
    CHECK(it.keepsOthers);
    CHECK(it.entries.at(0).isOverLimit);
    CHECK(it.entries.at(0).number == 12);
    const auto confirmation = roundTrip(QuotaConfirmation { 1'700'000'000'123 });
    REQUIRE(confirmation);
    CHECK(std::get<QuotaConfirmation>(*confirmation).report == 1'700'000'000'123);
    CHECK_FALSE(decodeQuotaMessage("C1 5 a 1 ."));
    const auto transfer = roundTrip(QuotaTransfer { FailureDomainId("z"), 5, 6, { { OrganisationId("a"), 3, 2 } } });
    REQUIRE(transfer);
    CHECK(std::get<QuotaTransfer>(*transfer).receiver == 5);
    CHECK(std::get<QuotaTransfer>(*transfer).entries.at(0).given == 2);
    const auto beat = roundTrip(QuotaBeat { InstanceId("n"), false, true, true, { { OrganisationId("a"), { 7, 1 }, 3, 4.5 } } });
    REQUIRE(beat);
    CHECK_FALSE(std::get<QuotaBeat>(*beat).isHolder);
    CHECK(std::get<QuotaBeat>(*beat).isActing);
    CHECK(std::get<QuotaBeat>(*beat).entries.at(0).lent.amount == 7);
    CHECK(std::get<QuotaBeat>(*beat).entries.at(0).demand == 4.5);
}

TEST_CASE("an organisation with the longest name is reported", "[quotas]")
{
    QuotaReport report = exampleReport();
    report.entries.front().organisation = OrganisationId(std::string(maxQuotaNameBytes, 'a'));
    const auto decoded = roundTrip(report);
    REQUIRE(decoded);
    REQUIRE(std::get<QuotaReport>(*decoded).entries.size() == 2);
    CHECK(std::get<QuotaReport>(*decoded).entries[0].organisation == report.entries[0].organisation);
    report.entries.front().organisation = OrganisationId(std::string(maxQuotaNameBytes + 1, 'a'));
    const auto without = roundTrip(report);
    REQUIRE(without);
    CHECK(std::get<QuotaReport>(*without).entries.size() == 1);
}

// Guards against a datagram that the network would fragment, and against a part that confirms claims of a lost one.
TEST_CASE("many claims are split, and each part covers its own versions", "[quotas]")
{
    const auto datagrams = encodeQuotaMessage(exampleExchange(300));
    REQUIRE(datagrams.size() > 1);
    uint64_t covered = 0;
    size_t claims = 0;
    for (const auto& datagram : datagrams) {
        CHECK(datagram.size() <= DatagramPort::maxPayloadBytes);
        const auto decoded = decodeQuotaMessage(std::string_view(datagram).substr(prefixBytes));
        REQUIRE(decoded);
        const auto& update = std::get<QuotaExchange>(*decoded).update;
        CHECK(update.from == covered);
        covered = update.to;
        claims += update.claims.size();
    }
    CHECK(covered == 300);
    CHECK(claims == 300);
}

// Guards against acting on a part of a message. Any prefix must be rejected, since datagrams have an end mark.
TEST_CASE("truncated, extended, oversized and foreign datagrams are rejected", "[quotas]")
{
    const std::string whole = encodeQuotaMessage(exampleReport()).front().substr(prefixBytes);
    for (size_t n = 0; n < whole.size(); ++n)
        CHECK_FALSE(decodeQuotaMessage(std::string_view(whole).substr(0, n)));
    CHECK_FALSE(decodeQuotaMessage(whole + " x"));
    CHECK_FALSE(decodeQuotaMessage(whole.substr(0, whole.size() - 1) + "7 ."));
    CHECK_FALSE(decodeQuotaMessage("R2" + whole.substr(2)));
    CHECK_FALSE(decodeQuotaMessage("R1 n 1 2 a nan 0 0 0 0 0 0 ."));
    CHECK_FALSE(decodeQuotaMessage("R1 n 1 2 a -1 0 0 0 0 0 0 ."));
    CHECK_FALSE(decodeQuotaMessage("R1 n 1 2 a 1e300 0 0 0 0 0 0 ."));
    CHECK_FALSE(decodeQuotaMessage("R1 n 1 2 a%2 1 0 0 0 0 0 0 ."));
    CHECK_FALSE(decodeQuotaMessage("A1 h 70000 1 1 0 ."));
    CHECK_FALSE(decodeQuotaMessage("B1 n 2 0 0 ."));
    CHECK_FALSE(decodeQuotaMessage("R1 n 1 2 " + std::string(DatagramPort::maxPayloadBytes, 'a') + " 1 0 0 0 0 0 0 ."));
}

// Guards against a crash or an endless loop on damaged datagrams. What is still well formed must be encodable again.
TEST_CASE("mutated datagrams are rejected or decoded to valid messages", "[quotas]")
{
    const uint64_t seed = GENERATE(range<uint64_t>(1, 9));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const std::vector<QuotaMessage> messages { exampleReport(), exampleExchange(5), QuotaAnswer { 9, 8, false, { "h", 1 }, { { OrganisationId("a"), { 1.5, 2 }, 3, 0.25, true, 12 } } },
        QuotaConfirmation { 77 }, QuotaTransfer { FailureDomainId("z"), 5, 6, { { OrganisationId("a"), 3, 2 } } },
        QuotaBeat { InstanceId("n"), true, true, true, { { OrganisationId("a"), { 7, 1 }, 3, 4.5 } } } };
    for (int n = 0; n < 4000; ++n) {
        std::string text = encodeQuotaMessage(messages[random() % messages.size()]).front().substr(prefixBytes);
        for (uint64_t change = 1 + random() % 4; change > 0; --change) {
            const size_t at = random() % text.size();
            const uint64_t kind = random() % 3;
            if (kind == 0)
                text[at] = static_cast<char>(random() % 256);
            else if (kind == 1)
                text.erase(at, 1 + random() % 3);
            else
                text.insert(at, 1, " .%0915eE-"[random() % 10]);
            if (text.empty())
                text = ".";
        }
        if (const auto decoded = decodeQuotaMessage(text))
            CHECK_FALSE(encodeQuotaMessage(*decoded).empty());
    }
}
