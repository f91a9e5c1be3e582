#include "configuration/ConfigurationYaml.h"

#include "configuration/ConfigurationDiff.h"
#include "configuration/Duration.h"
#include "configuration/PolicySettings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>

using namespace parsleypaddle;

namespace {

std::string configurationPage()
{
    std::ifstream file(std::string(PARSLEYPADDLE_SOURCE_DIR) + "/docs/CONFIGURATION.md");
    std::stringstream buf;
    buf << file.rdbuf();
    return buf.str();
}

// Returns the contents of the page's fenced code blocks marked with `language`, in the order of the page.
std::vector<std::string> blocksOf(const std::string& page, const std::string& language)
{
    std::vector<std::string> blocks;
    const std::string fence = "```";
    for (size_t n = page.find(fence + language + "\n"); n != std::string::npos; n = page.find(fence + language + "\n", n)) {
        const size_t start = n + fence.size() + language.size() + 1;
        const size_t end = page.find(fence, start);
        blocks.push_back(page.substr(start, end - start));
        n = end + fence.size();
    }
    return blocks;
}

std::string messageOf(const std::string& document)
{
    const auto loaded = loadConfiguration(document, "fleet.yaml");
    return loaded.ok() ? "" : std::string(loaded.status().message()) + "\n";
}

Configuration exampleConfiguration()
{
    return parseConfiguration(blocksOf(configurationPage(), "yaml")[0]).configuration;
}

}

TEST_CASE("the example in docs/CONFIGURATION.md is read without faults", "[configuration]")
{
    const auto example = parseConfiguration(blocksOf(configurationPage(), "yaml")[0]);
    for (const auto& it : example.faults)
        UNSCOPED_INFO(it.describe("fleet.yaml"));
    REQUIRE(example.isValid());
    CHECK(example.configuration.version == ConfigurationVersion(7));
    CHECK(example.configuration.defaults.greatestAge == Milliseconds(2000));
    CHECK(example.configuration.classes.size() == 2);
    CHECK(example.configuration.classes[0].urgency == Urgency::Urgent);
    REQUIRE(example.configuration.findGroup(DatabaseId("fitting-1")));
    CHECK(example.configuration.findGroup(DatabaseId("fitting-1"))->targets[1].address.port == 5432);
    REQUIRE(example.configuration.exceptions.size() == 1);
    CHECK(formatInstant(*example.configuration.exceptions[0].until) == "2027-01-31T00:00:00Z");
}

TEST_CASE("each invalid document in docs/CONFIGURATION.md gives the message shown there", "[configuration]")
{
    const auto page = configurationPage();
    const auto inputs = blocksOf(page, "yaml bad");
    const auto messages = blocksOf(page, "text");
    REQUIRE(inputs.size() >= 8);
    REQUIRE(inputs.size() == messages.size());
    for (size_t n = 0; n < inputs.size(); ++n)
        CHECK(messageOf(inputs[n]) == messages[n]);
}

TEST_CASE("a configuration is unchanged after writing and reading it", "[configuration]")
{
    const auto example = exampleConfiguration();
    const auto document = writeConfiguration(example);
    const auto again = parseConfiguration(document);
    REQUIRE(again.isValid());
    CHECK(writeConfiguration(again.configuration) == document);
    CHECK(compareConfigurations(example, again.configuration).empty());
}

TEST_CASE("a comparison lists changed, added and removed values", "[configuration]")
{
    const auto before = exampleConfiguration();
    auto after = before;
    after.groups[0].slots = 6;
    after.exceptions.clear();
    const auto changes = compareConfigurations(before, after);
    REQUIRE_FALSE(changes.empty());
    CHECK(changes.back().describe() == "groups/fitting-1/slots: 5 -> 6");
    CHECK(changes.front().describe() == "exceptions/history-at-shop-12/author: k.marinova -> none");
    CHECK(compareConfigurations(after, before).front().describe() == "exceptions/history-at-shop-12/author: none -> k.marinova");
}

TEST_CASE("durations are unchanged after formatting and parsing, and invalid durations and times are refused", "[configuration]")
{
    CHECK(parseDuration("250ms") == Milliseconds(250));
    CHECK(parseDuration("2s") == Milliseconds(2000));
    CHECK(parseDuration("1m") == Milliseconds(60'000));
    CHECK(parseDuration("24h") == Milliseconds(86'400'000));
    for (const char* it : { "", "2", "s", "2 s", "-2s", "2d", "1e3s", "2sec" })
        CHECK_FALSE(parseDuration(it).has_value());
    for (const char* it : { "2026-13-01T00:00:00Z", "2026-01-01", "tomorrow", "2026-01-01T00:00:00+02:00" })
        CHECK_FALSE(parseInstant(it).has_value());
    CHECK(rc::check("whole milliseconds", [] {
        const auto count = static_cast<double>(*rc::gen::inRange(0, 100'000'000));
        RC_ASSERT(parseDuration(formatDuration(Milliseconds(count))) == Milliseconds(count));
    }));
}

TEST_CASE("a class overrides the defaults, and the most specific exception overrides both", "[configuration]")
{
    auto configuration = exampleConfiguration();
    configuration.exceptions.clear();
    const auto add = [&configuration](ExceptionScope scope, const std::string& value, std::optional<Instant> until = std::nullopt) {
        configuration.exceptions.push_back({ std::to_string(configuration.exceptions.size()), scope, PolicySetting::GreatestAge, value, "test", "test", until });
    };
    const DatabaseId database("fitting-1");
    const OrganisationId organisation("shop-12");
    const ClassName history("history");
    const Instant now(1'700'000'000'000.0);
    const auto age = [&] { return resolvePolicy(configuration, organisation, database, history, now).greatestAge; };

    CHECK(resolvePolicy(configuration, organisation, database, ClassName("other"), now).greatestAge == configuration.defaults.greatestAge);
    CHECK(age() == configuration.findClass(history)->greatestAge);
    add({ {}, organisation, {} }, "11s");
    add({ {}, {}, history }, "12s");
    CHECK(age() == Milliseconds(11'000));
    add({ database, {}, history }, "13s");
    CHECK(age() == Milliseconds(13'000));
    add({ database, organisation, history }, "14s", now);
    CHECK(age() == Milliseconds(13'000));
    add({ database, OrganisationId("shop-13"), history }, "15s");
    CHECK(age() == Milliseconds(13'000));
    configuration.exceptions[3].until = now + Milliseconds(1);
    CHECK(age() == Milliseconds(14'000));
}
