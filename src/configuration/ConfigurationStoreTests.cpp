#include "configuration/ConfigurationStore.h"

#include "configuration/ConfigurationYaml.h"
#include "configuration/StoreFleet.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

std::string documentWithAge(int seconds)
{
    return "defaults:\n  greatest-age: " + std::to_string(seconds) + "s\n";
}

struct ApplyResult {
    bool isFinished { false };
    absl::Status status;
    ConfigurationVersion version;
};

// Starts to apply a document; `result` is set when the operation completes.
void startApply(StoreFleet& fleet, size_t number, uint64_t base, const std::string& document, ApplyResult& result)
{
    result = {};
    fleet.store(number).apply(ConfigurationVersion(base), document, "operator-" + std::to_string(number), [&result](const auto& version) {
        result.isFinished = true;
        result.status = version.status();
        result.version = version.ok() ? *version : ConfigurationVersion();
    });
}

ApplyResult applyAndWait(StoreFleet& fleet, size_t number, uint64_t base, const std::string& document)
{
    ApplyResult result;
    startApply(fleet, number, base, document, result);
    fleet.loop.runUntil([&result] { return result.isFinished; }, Milliseconds(60'000));
    return result;
}

// A fleet with version 1 in force everywhere.
std::unique_ptr<StoreFleet> startedFleet(size_t count, uint64_t seed = 1)
{
    auto fleet = std::make_unique<StoreFleet>(seed);
    fleet->add(count);
    REQUIRE(applyAndWait(*fleet, 0, 0, documentWithAge(1)).status.ok());
    REQUIRE(fleet->loop.runUntil([&fleet] { return fleet->isInForceEverywhere(ConfigurationVersion(1)); }, Milliseconds(9000)));
    return fleet;
}

const Milliseconds propagationTimeout(9000);

bool comesIntoForceEverywhere(StoreFleet& fleet, uint64_t version, Milliseconds limit = propagationTimeout)
{
    return fleet.loop.runUntil([&] { return fleet.isInForceEverywhere(ConfigurationVersion(version)); }, limit);
}

}

TEST_CASE("an accepted change comes into force on every daemon and is in the history", "[configuration]")
{
    auto fleet = startedFleet(5);
    const auto result = applyAndWait(*fleet, 3, 1, documentWithAge(2));
    CHECK(result.version == ConfigurationVersion(2));
    CHECK(comesIntoForceEverywhere(*fleet, 2));
    for (const auto& it : fleet->nodes)
        CHECK(it->store->current()->defaults.greatestAge == Milliseconds(2000));
    const auto& history = fleet->store(0).history();
    REQUIRE(history.size() == 2);
    CHECK(history[0].author == "operator-3");
    CHECK(history[0].summary == "defaults/greatest-age: 1s -> 2s");
}

TEST_CASE("a document with faults or without an author is refused, and an unchanged document writes nothing", "[configuration]")
{
    auto fleet = startedFleet(2);
    const auto writes = fleet->platform.counts().writes;
    CHECK(resultCodeOf(applyAndWait(*fleet, 0, 1, "defaults: {deadline: 3}").status) == ResultCode::ConfigurationInvalid);
    ApplyResult result;
    fleet->store(0).apply(ConfigurationVersion(1), documentWithAge(2), "", [&result](const auto& version) { result.status = version.status(); });
    CHECK(resultCodeOf(result.status) == ResultCode::MissingField);
    CHECK(applyAndWait(*fleet, 0, 1, documentWithAge(1)).version == ConfigurationVersion(1));
    CHECK(fleet->platform.counts().writes == writes);
}

TEST_CASE("of two concurrent changes one is accepted, and the other is refused with a message that shows the accepted one", "[configuration]")
{
    const uint64_t seed = GENERATE(range<uint64_t>(1, 11));
    auto fleet = startedFleet(4, seed);
    ApplyResult first;
    ApplyResult second;
    startApply(*fleet, 1, 1, documentWithAge(2), first);
    fleet->loop.advance(Milliseconds(static_cast<double>(seed)));
    startApply(*fleet, 2, 1, documentWithAge(3), second);
    fleet->loop.runUntil([&] { return first.isFinished && second.isFinished; }, Milliseconds(10'000));
    INFO("seed " << seed);
    REQUIRE(first.status.ok() != second.status.ok());
    const auto& refused = first.status.ok() ? second : first;
    const std::string winner = first.status.ok() ? "operator-1" : "operator-2";
    const std::string change = first.status.ok() ? "1s -> 2s" : "1s -> 3s";
    CHECK(resultCodeOf(refused.status) == ResultCode::ConfigurationConflict);
    CHECK(std::string(refused.status.message()).find("version 2 by " + winner) != std::string::npos);
    CHECK(std::string(refused.status.message()).find(change) != std::string::npos);
    CHECK(comesIntoForceEverywhere(*fleet, 2));
}

TEST_CASE("the outcome of a change whose answer was lost is determined by its change id", "[configuration]")
{
    auto fleet = startedFleet(3);
    ApplyResult result;
    SECTION("the change was accepted")
    {
        startApply(*fleet, 0, 1, documentWithAge(2), result);
        // After 7 ms the object is stored and the row has not been written yet.
        fleet->loop.advance(Milliseconds(7));
        fleet->platform.loseNextWriteAnswer();
        fleet->loop.advance(Milliseconds(30'000));
        CHECK(result.version == ConfigurationVersion(2));
        CHECK(fleet->store(1).history().size() == 2);
    }
    SECTION("another change was accepted on top of it before the outcome was known")
    {
        startApply(*fleet, 0, 1, documentWithAge(2), result);
        fleet->loop.advance(Milliseconds(7));
        fleet->platform.loseNextWriteAnswer();
        fleet->loop.advance(Milliseconds(20));
        CHECK(applyAndWait(*fleet, 1, 2, documentWithAge(3)).version == ConfigurationVersion(3));
        fleet->loop.advance(Milliseconds(30'000));
        CHECK(result.version == ConfigurationVersion(2));
    }
    SECTION("a delayed write does not take effect after the change was reported as refused")
    {
        startApply(*fleet, 0, 1, documentWithAge(2), result);
        fleet->loop.advance(Milliseconds(7));
        fleet->platform.delayNextWrite(Milliseconds(15'000));
        fleet->loop.advance(Milliseconds(20));
        CHECK(applyAndWait(*fleet, 1, 1, documentWithAge(3)).version == ConfigurationVersion(2));
        fleet->loop.advance(Milliseconds(30'000));
        CHECK(resultCodeOf(result.status) == ResultCode::ConfigurationConflict);
        CHECK(fleet->store(2).current()->defaults.greatestAge == Milliseconds(3000));
    }
    SECTION("the outcome stays unknown when the platform does not recover in time")
    {
        startApply(*fleet, 0, 1, documentWithAge(2), result);
        fleet->loop.advance(Milliseconds(7));
        fleet->platform.loseNextWriteAnswer();
        fleet->loop.advance(Milliseconds(6));
        fleet->platform.setDown(true);
        fleet->loop.advance(Milliseconds(60'000));
        CHECK(resultCodeOf(result.status) == ResultCode::OutcomeUnknown);
    }
}

TEST_CASE("a change is refused while the platform is down, and succeeds once the platform is back", "[configuration]")
{
    auto fleet = startedFleet(3);
    fleet->platform.setDown(true);
    fleet->loop.advance(Milliseconds(600'000));
    CHECK(fleet->isInForceEverywhere(ConfigurationVersion(1)));
    CHECK(resultCodeOf(applyAndWait(*fleet, 0, 1, documentWithAge(2)).status) == ResultCode::PlatformUnavailable);
    fleet->platform.setDown(false);
    fleet->loop.advance(Milliseconds(20'000));
    CHECK(fleet->isInForceEverywhere(ConfigurationVersion(1)));
    CHECK(applyAndWait(*fleet, 0, 1, documentWithAge(2)).status.ok());
    CHECK(comesIntoForceEverywhere(*fleet, 2));
}

TEST_CASE("a change reaches every daemon when the platform goes down right after accepting it", "[configuration]")
{
    auto fleet = startedFleet(9);
    REQUIRE(applyAndWait(*fleet, 0, 1, documentWithAge(2)).status.ok());
    fleet->platform.setDown(true);
    CHECK(comesIntoForceEverywhere(*fleet, 2));
}

TEST_CASE("a daemon that starts while the platform is down fetches the configuration from its peers", "[configuration]")
{
    auto fleet = startedFleet(3);
    fleet->platform.setDown(true);
    fleet->add(1);
    CHECK(fleet->version(3) == ConfigurationVersion());
    CHECK(comesIntoForceEverywhere(*fleet, 1, Milliseconds(2000)));
}

TEST_CASE("a daemon without reachable peers fetches the configuration from the platform", "[configuration]")
{
    auto fleet = startedFleet(3);
    fleet->add(1);
    fleet->setPartition(3, 1);
    CHECK(comesIntoForceEverywhere(*fleet, 1, Milliseconds(2000)));
}

TEST_CASE("an older version that arrives late is ignored", "[configuration]")
{
    auto fleet = startedFleet(3);
    const auto oldDigest = fleet->store(0).digest();
    const auto oldRow = fleet->platform.row(configurationRootKey)->value;
    REQUIRE(applyAndWait(*fleet, 0, 1, documentWithAge(2)).status.ok());
    REQUIRE(comesIntoForceEverywhere(*fleet, 2));
    std::vector<ConfigurationVersion> seen;
    for (const auto& it : fleet->nodes)
        it->store->addListener([&seen](const auto& configuration) { seen.push_back(configuration->version); });
    SECTION("from a peer")
    {
        CHECK(fleet->store(1).handleExchange(StoreFleet::idOf(0), oldDigest).version == ConfigurationVersion(2));
        fleet->loop.advance(Milliseconds(20'000));
    }
    SECTION("from a table restored from a backup; the next change builds on the version in force")
    {
        fleet->platform.forceRow(configurationRootKey, oldRow);
        fleet->loop.advance(Milliseconds(20'000));
        CHECK(seen.empty());
        CHECK(applyAndWait(*fleet, 0, 2, documentWithAge(3)).version == ConfigurationVersion(3));
        CHECK(comesIntoForceEverywhere(*fleet, 3));
        seen.clear();
    }
    CHECK(seen.empty());
    CHECK_FALSE(fleet->isInForceEverywhere(ConfigurationVersion(1)));
}

TEST_CASE("a body that does not match its digest is not adopted", "[configuration]")
{
    auto fleet = startedFleet(2);
    const std::string encoded = encodeBody({ {}, "version: 2\n" + documentWithAge(2) });
    fleet->nodes[0]->client->put("body", encoded, [](const auto&) {});
    const bool isDamaged = GENERATE(false, true);
    const std::string hash = hashOf(isDamaged ? encoded + " " : encoded);
    fleet->platform.forceRow(configurationRootKey, encodeRoot({ { ConfigurationVersion(2), "change", hash }, "body" }));
    fleet->loop.advance(Milliseconds(20'000));
    CHECK(fleet->isInForceEverywhere(ConfigurationVersion(isDamaged ? 1 : 2)));
}

TEST_CASE("a partition isolated for an hour keeps its version, and adopts the latest one within nine seconds of reconnecting", "[configuration]")
{
    const uint64_t seed = GENERATE(range<uint64_t>(1, 4));
    INFO("seed " << seed);
    auto fleet = startedFleet(9, seed);
    for (size_t n = 6; n < 9; ++n) {
        fleet->setPartition(n, 1);
        fleet->nodes[n]->client->setCut(true);
    }
    REQUIRE(applyAndWait(*fleet, 0, 1, documentWithAge(2)).status.ok());
    REQUIRE(applyAndWait(*fleet, 1, 2, documentWithAge(3)).status.ok());
    fleet->loop.advance(Milliseconds(3'600'000));
    CHECK(fleet->countWithVersion(ConfigurationVersion(3)) == 6);
    CHECK(fleet->countWithVersion(ConfigurationVersion(1)) == 3);
    CHECK(resultCodeOf(applyAndWait(*fleet, 7, 1, documentWithAge(4)).status) == ResultCode::PlatformUnavailable);
    for (size_t n = 6; n < 9; ++n) {
        fleet->setPartition(n, 0);
        fleet->nodes[n]->client->setCut(false);
    }
    CHECK(comesIntoForceEverywhere(*fleet, 3));
}
