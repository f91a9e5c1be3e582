#include "overhead/OverheadOptions.h"
#include "overhead/OverheadReport.h"

#include <catch2/catch.hpp>
#include <getopt.h>
#include <json/reader.h>
#include <sstream>

using namespace parsleypaddle;

namespace {

absl::StatusOr<OverheadOptions> parseOptions(std::vector<std::string> words)
{
    words.insert(words.begin(), "parsleypaddle-overhead");
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& it : words)
        arguments.push_back(it.data());
    arguments.push_back(nullptr);
    optind = 0;
    return OverheadOptions::parse(static_cast<int>(words.size()), arguments.data());
}

}

TEST_CASE("the overhead program reads its options", "[overhead]")
{
    const auto options = parseOptions({ "--daemon", "127.0.0.1:7001", "--target", "127.0.0.1:7002", "--connections", "4,8", "--seconds", "0.5", "--write", "--json" });
    REQUIRE(options.ok());
    CHECK(options->daemon.port == 7001);
    CHECK(options->target.port == 7002);
    CHECK(options->connections == std::vector<size_t> { 4, 8 });
    CHECK(options->times.measured == Milliseconds(500));
    CHECK(options->statement == LoadStatement::Write);
    CHECK(options->isJson);
}

TEST_CASE("the overhead program refuses options that make no sense", "[overhead]")
{
    const auto words = GENERATE(values<std::vector<std::string>>({
        {},
        { "--daemon", "127.0.0.1:7001" },
        { "--daemon", "127.0.0.1", "--target", "127.0.0.1:7002" },
        { "--daemon", "127.0.0.1:70000", "--target", "127.0.0.1:7002" },
        { "--daemon", "127.0.0.1:7001", "--target", "127.0.0.1:7002", "--connections", "0" },
        { "--daemon", "127.0.0.1:7001", "--target", "127.0.0.1:7002", "--seconds", "-1" },
        { "--daemon", "127.0.0.1:7001", "--target", "127.0.0.1:7002", "--workers", "0" },
    }));
    CHECK_FALSE(parseOptions(words).ok());
}

TEST_CASE("the overhead report gives each ratio of daemon to direct", "[overhead]")
{
    OverheadReport report;
    report.rows.push_back({ 32, { 1000, Milliseconds(2), Milliseconds(4), 0, "" }, { 250, Milliseconds(6), Milliseconds(20), 3, "refused" } });
    report.memory = IdleMemory { 100, 2000, 1500 };
    std::stringstream out;
    printJson(out, report);
    Json::Value json;
    REQUIRE(Json::parseFromStream(Json::CharReaderBuilder(), out, &json, nullptr));
    CHECK(json["rows"][0]["throughput_ratio"].asDouble() == Approx(0.25));
    CHECK(json["rows"][0]["median_ratio"].asDouble() == Approx(3));
    CHECK(json["rows"][0]["p99_ratio"].asDouble() == Approx(5));
    CHECK(json["rows"][0]["daemon"]["failures"].asUInt() == 3);
    CHECK(json["idle"]["kb_each"].asDouble() == Approx(-5));
}
