#include "tool/Tool.h"

#include "configuration/StoreFleet.h"
#include "operations/Operations.h"
#include "tool/Commands.h"

#include <Poco/TemporaryFile.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <json/reader.h>
#include <json/writer.h>
#include <mutex>
#include <sstream>

using namespace parsleypaddle;

namespace {

constexpr uint16_t firstPort = 7101;

// The tool before a fleet of stores on virtual time; each node's operations answer at a control address of its own.
struct ToolFixture {
    explicit ToolFixture(size_t daemons = 3)
        : fleet(1)
    {
        fleet.add(daemons);
        for (size_t n = 0; n < daemons; ++n)
            addOperations(n);
        ports = std::make_unique<ToolPorts>(ToolPorts {
            out,
            err,
            [this](const auto& address, const auto& method, const auto& parameters, Milliseconds) { return call(address, method, parameters); },
            [this](Milliseconds pause) { fleet.loop.advance(pause); },
            [this] { return fleet.loop.now(); },
        });
    }

    void addOperations(size_t number)
    {
        DaemonStatus& status = statuses[number];
        status.instance = StoreFleet::idOf(number);
        status.failureDomain = FailureDomainId("plateau");
        journals.push_back(std::make_unique<Journal>(JournalLimits {}));
        const OperationsPorts operationsPorts { fleet.store(number), *journals.back(), [this, number] { return report(number); }, [&status] { status.isDraining = true; } };
        operations.push_back(std::make_unique<Operations>(operationsPorts));
    }

    DaemonStatus report(size_t number)
    {
        DaemonStatus status = statuses[number];
        status.version = fleet.store(number).digest().version;
        for (size_t n = 0; n < operations.size(); ++n)
            status.instances.push_back({ StoreFleet::idOf(n), FailureDomainId("plateau"), "127.0.0.1", 1, static_cast<uint16_t>(firstPort + n), false });
        return status;
    }

    ControlResult call(const ControlAddress& address, const std::string& method, const std::string& text)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const size_t number = address.port - firstPort;
        if (number >= operations.size() || number == silent)
            return ControlResult::failure(static_cast<int>(ResultCode::PeerUnreachable), "refused");
        Json::Value parameters;
        std::istringstream in(text);
        in >> parameters;
        ControlResult result = ControlResult::failure(static_cast<int>(ResultCode::PeerSilent), "no answer");
        bool isOver = false;
        operations[number]->call(method, parameters, [&](const auto& value) {
            isOver = true;
            result = value.ok() ? ControlResult::success(Json::writeString(Json::StreamWriterBuilder(), *value)) : ControlResult::failure(static_cast<int>(resultCodeOf(value.status())), std::string(value.status().message()));
        });
        fleet.loop.runUntil([&isOver] { return isOver; }, Milliseconds(40'000));
        return result;
    }

    ExitCode run(std::vector<std::string> arguments, const std::string& daemon = "127.0.0.1:7101")
    {
        out.str("");
        err.str("");
        if (!daemon.empty())
            arguments.insert(arguments.end(), { "--daemon", daemon });
        return runTool(arguments, *ports);
    }

    Json::Value json()
    {
        Json::Value value;
        std::istringstream in(out.str());
        in >> value;
        return value;
    }

    std::string write(const std::string& document)
    {
        std::string path = "tool-tests-document.yaml";
        std::ofstream(path) << document;
        return path;
    }

    ~ToolFixture() { std::remove("tool-tests-document.yaml"); }

    StoreFleet fleet;
    std::mutex mutex;
    std::map<size_t, DaemonStatus> statuses;
    std::vector<std::unique_ptr<Journal>> journals;
    std::vector<std::unique_ptr<Operations>> operations;
    size_t silent { SIZE_MAX };
    std::stringstream out;
    std::stringstream err;
    std::unique_ptr<ToolPorts> ports;
};

const char* const smallDocument = "classes:\n  - {name: history, urgency: deferrable, greatest-age: 10s, deadline: 5s}\n";

bool contains(const std::stringstream& stream, const std::string& text)
{
    return stream.str().find(text) != std::string::npos;
}

}

TEST_CASE("the tool checks a document without a daemon", "[tool]")
{
    ToolFixture fixture;
    CHECK(fixture.run({ "config", "check", fixture.write(smallDocument) }, "") == ExitCode::Done);
    CHECK(contains(fixture.out, "no faults"));
    CHECK(fixture.run({ "config", "check", fixture.write("defaults: {deadline: 3}") }, "") == ExitCode::InvalidDocument);
    CHECK(contains(fixture.out, "tool-tests-document.yaml:1: defaults.deadline: \"3\", expected a duration"));
    CHECK(fixture.run({ "config", "check", fixture.write("defaults: {deadline: 3}"), "--json" }, "") == ExitCode::InvalidDocument);
    CHECK(fixture.json()["faults"][0]["line"].asInt() == 1);
    CHECK(fixture.run({ "config", "check", "no-such-file" }, "") == ExitCode::NotFound);
}

TEST_CASE("the tool applies a document and waits until it is in force everywhere", "[tool]")
{
    ToolFixture fixture;
    const auto path = fixture.write(smallDocument);
    REQUIRE(fixture.run({ "config", "apply", path, "--author", "k.marinova" }) == ExitCode::Done);
    CHECK(contains(fixture.out, "version 1 is in force on 3 of 3 daemons"));
    CHECK(contains(fixture.err, "version 1: in force on 1 of 3 daemons"));
    CHECK(fixture.fleet.isInForceEverywhere(ConfigurationVersion(1)));

    SECTION("a document of an older base is a conflict that says what changed")
    {
        REQUIRE(fixture.run({ "config", "apply", fixture.write(smallDocument + std::string("defaults: {deadline: 3s}")), "--base", "1", "--author", "i.petrov" }) == ExitCode::Done);
        CHECK(fixture.run({ "config", "apply", fixture.write("defaults: {deadline: 4s}"), "--base", "1", "--author", "k.marinova" }) == ExitCode::Conflict);
        CHECK(contains(fixture.err, "version 2 by i.petrov"));
        CHECK(contains(fixture.err, "defaults/deadline: 5s -> 3s"));
    }
    SECTION("a daemon that is not reached is named")
    {
        fixture.silent = 2;
        CHECK(fixture.run({ "config", "apply", fixture.write("version: 1\ndefaults: {deadline: 3s}"), "--author", "k.marinova", "--json" }) == ExitCode::NotEverywhere);
        CHECK(fixture.json()["not_reached"][0].asString() == "instance-2");
        CHECK(fixture.json()["in_force"].size() == 2);
    }
    SECTION("faults, a missing author and a platform that is down are refused")
    {
        CHECK(fixture.run({ "config", "apply", path, "--author", "" }) == ExitCode::OtherError);
        CHECK(fixture.run({ "config", "apply", fixture.write("defaults: {deadline: 3}"), "--author", "a" }) == ExitCode::InvalidDocument);
        fixture.fleet.platform.setDown(true);
        CHECK(fixture.run({ "config", "apply", fixture.write("version: 1\ndefaults: {deadline: 3s}"), "--author", "a" }) == ExitCode::PlatformUnavailable);
    }
}

TEST_CASE("the tool shows, compares and traces the configuration", "[tool]")
{
    ToolFixture fixture;
    REQUIRE(fixture.run({ "config", "apply", fixture.write(smallDocument), "--author", "k.marinova" }) == ExitCode::Done);
    CHECK(fixture.run({ "config", "show" }) == ExitCode::Done);
    CHECK(contains(fixture.out, "version: 1\ndefaults:\n"));
    const auto shown = fixture.out.str();
    CHECK(fixture.run({ "config", "diff", fixture.write(shown) }) == ExitCode::Done);
    CHECK(fixture.out.str().empty());
    CHECK(fixture.run({ "config", "diff", fixture.write("defaults: {deadline: 3s}") }) == ExitCode::Different);
    CHECK(contains(fixture.out, "defaults/deadline: 5s -> 3s\n"));
    CHECK(fixture.run({ "config", "history" }) == ExitCode::Done);
    CHECK(contains(fixture.out, "k.marinova"));
    CHECK(fixture.run({ "config", "history", "--json" }) == ExitCode::Done);
    CHECK(fixture.json()["changes"][0]["version"].asUInt() == 1);
}

TEST_CASE("the tool adds, lists and removes exceptions", "[tool]")
{
    ToolFixture fixture;
    REQUIRE(fixture.run({ "config", "apply", fixture.write(smallDocument), "--author", "k.marinova" }) == ExitCode::Done);
    const std::vector<std::string> add { "exception", "add", "--id", "slow", "--class", "history", "--setting", "greatest-age", "--value", "1m", "--author", "k.marinova" };
    CHECK(fixture.run(add) == ExitCode::InvalidDocument);
    CHECK(contains(fixture.err, "reason_missing"));
    auto reasoned = add;
    reasoned.insert(reasoned.end(), { "--reason", "a slow link", "--until", "2020-01-01T00:00:00Z" });
    REQUIRE(fixture.run(reasoned) == ExitCode::Done);
    CHECK(fixture.run(reasoned) == ExitCode::InvalidDocument);
    CHECK(contains(fixture.err, "stands twice"));
    CHECK(fixture.run({ "exception", "list" }) == ExitCode::Done);
    CHECK(contains(fixture.out, "class history"));
    CHECK(contains(fixture.out, "2020-01-01T00:00:00Z (ended)"));
    CHECK(fixture.run({ "exception", "list", "--json" }) == ExitCode::Done);
    CHECK(fixture.json()[0]["reason"].asString() == "a slow link");
    CHECK(fixture.run({ "exception", "remove", "slow", "--author", "k.marinova" }) == ExitCode::Done);
    CHECK(fixture.run({ "exception", "remove", "slow", "--author", "k.marinova" }) == ExitCode::NotFound);
    CHECK(fixture.fleet.store(0).current()->exceptions.empty());
}

TEST_CASE("the tool adds, lists and removes groups", "[tool]")
{
    ToolFixture fixture;
    const std::vector<std::string> add { "group", "add", "orders-1", "--slots", "3", "--connections", "40", "--target", "o1=10.0.0.1:5432@sof-a", "--target", "o2=10.0.0.2:5432@sof-b", "--author", "k" };
    REQUIRE(fixture.run(add) == ExitCode::Done);
    CHECK(fixture.run(add) == ExitCode::InvalidDocument);
    CHECK(fixture.run({ "group", "list" }) == ExitCode::Done);
    CHECK(contains(fixture.out, "10.0.0.2:5432"));
    CHECK(fixture.run({ "group", "list", "--json" }) == ExitCode::Done);
    CHECK(fixture.json()[0]["targets"][0]["failure_domain"].asString() == "sof-a");
    CHECK(fixture.run({ "group", "remove", "orders-1", "--author", "k" }) == ExitCode::Done);
    CHECK(fixture.run({ "group", "remove", "orders-1", "--author", "k" }) == ExitCode::NotFound);
    for (const char* it : { "o1", "o1=10.0.0.1@sof-a", "o1=10.0.0.1:0@sof-a", "o1@10.0.0.1:1=sof-a" })
        CHECK(fixture.run({ "group", "add", "orders-2", "--slots", "3", "--connections", "40", "--target", it, "--author", "k" }) == ExitCode::InvalidDocument);
}

TEST_CASE("status shows each daemon and each group from what was heard last", "[tool]")
{
    ToolFixture fixture;
    const auto report = [](Term term, const char* primary, Milliseconds statusReceivedAgo, uint64_t position) {
        GroupReport group { DatabaseId("fitting-1"), term, TargetId(primary), {} };
        TargetReport target;
        target.target = TargetId("a");
        target.statusReceivedAgo = statusReceivedAgo;
        target.status.position = LogPosition(position);
        target.home = InstanceId("instance-2");
        group.targets.push_back(target);
        return group;
    };
    fixture.statuses[0].groups.push_back(report(Term(3), "b", Milliseconds(900), 5));
    fixture.statuses[1].groups.push_back(report(Term(4), "a", Milliseconds(100), 77));
    fixture.silent = 2;
    CHECK(fixture.run({ "status" }) == ExitCode::Done);
    CHECK(contains(fixture.out, "instance-2  127.0.0.1:7103"));
    CHECK(contains(fixture.out, "no answer"));
    CHECK(fixture.run({ "status", "--json" }) == ExitCode::Done);
    const auto group = fixture.json()["groups"][0];
    CHECK(group["term"].asUInt() == 4);
    CHECK(group["primary"].asString() == "a");
    CHECK(group["targets"][0]["position"].asUInt() == 77);
    CHECK(fixture.json()["daemons"].size() == 3);
}

TEST_CASE("explain gathers the decisions of all daemons in order of time", "[tool]")
{
    ToolFixture fixture;
    fixture.journals[0]->record({ Instant(2000.5), RequestId("r1"), DatabaseId("fitting-1"), "ask another target", "target_behind" });
    fixture.journals[1]->record({ Instant(1000), RequestId("r1"), DatabaseId("fitting-1"), "read", "at b" });
    fixture.journals[2]->record({ Instant(1500), RequestId(), DatabaseId("fitting-1"), "promote", "the primary is silent" });
    CHECK(fixture.run({ "explain", "r1" }) == ExitCode::Done);
    CHECK(fixture.out.str().find("at b") < fixture.out.str().find("target_behind"));
    CHECK(contains(fixture.out, "1970-01-01T00:00:02.000Z"));
    CHECK(fixture.run({ "explain", "group", "fitting-1", "--json" }) == ExitCode::Done);
    CHECK(fixture.json()[0]["instance"].asString() == "instance-2");
    CHECK(fixture.run({ "explain", "r2" }) == ExitCode::NotFound);
}

TEST_CASE("drain reaches the one daemon that is named", "[tool]")
{
    ToolFixture fixture;
    CHECK(fixture.run({ "drain" }, "127.0.0.1:7102") == ExitCode::Done);
    CHECK(fixture.statuses[1].isDraining);
    CHECK_FALSE(fixture.statuses[0].isDraining);
    CHECK(fixture.run({ "drain", "--daemon", "127.0.0.1:7103" }) == ExitCode::Usage);
    CHECK(fixture.run({ "drain" }, "127.0.0.1:7999") == ExitCode::NoDaemon);
}

TEST_CASE("a wrong command line is refused with its reason", "[tool]")
{
    ToolFixture fixture;
    const std::vector<std::vector<std::string>> wrong { {}, { "config" }, { "config", "apply" }, { "status", "now" }, { "status", "--author", "k" }, { "status", "--colour" }, { "status", "--daemon", "nowhere" }, { "config", "apply", "f", "--base", "x" }, { "config", "apply", "f", "--timeout", "5" } };
    for (const auto& it : wrong) {
        CHECK(fixture.run(it) == ExitCode::Usage);
        CHECK(contains(fixture.err, "parsleypaddle: "));
    }
    CHECK(fixture.run({ "status" }, "") == ExitCode::NoDaemon);
}

TEST_CASE("each command has its help, and options that exist", "[tool]")
{
    ToolFixture fixture;
    CHECK(fixture.run({ "--help" }, "") == ExitCode::Done);
    for (const auto& it : toolCommands()) {
        INFO(it.name);
        CHECK(contains(fixture.out, std::string("  ") + it.name));
        for (const char* option : it.options)
            CHECK_FALSE(helpOfOption(option).empty());
    }
    CHECK(fixture.run({ "exception", "add", "--help" }, "") == ExitCode::Done);
    CHECK(contains(fixture.out, "--reason"));
}

TEST_CASE("the key comes from its file or a daemon's key file", "[tool]")
{
    const Poco::TemporaryFile file;
    const std::string& path = file.path();
    std::ofstream(path) << "token t1 aaaa\npeer first\npeer second\n";
    CHECK(loadKey(path).value() == "first");
    std::ofstream(path) << "bare\n";
    CHECK(loadKey(path).value() == "bare");
    std::ofstream(path) << "\n";
    CHECK(resultCodeOf(loadKey(path).status()) == ResultCode::KeyRefused);
    CHECK_FALSE(loadKey("no-such-file").ok());
}

TEST_CASE("the operators' page lists each exit code and names each kind of command", "[tool]")
{
    std::ifstream file(std::string(PARSLEYPADDLE_SOURCE_DIR) + "/docs/OPERATORS.md");
    std::stringstream buf;
    buf << file.rdbuf();
    const std::string page = buf.str();
    for (int n = 0; n <= static_cast<int>(ExitCode::PlatformUnavailable); ++n)
        CHECK(page.find("\n| " + std::to_string(n) + " | ") != std::string::npos);
    for (const auto& it : toolCommands()) {
        INFO(it.name);
        const std::string group = std::string(it.name).substr(0, std::string(it.name).find(' '));
        CHECK(page.find(group) != std::string::npos);
    }
}

TEST_CASE("explain log tells a request's story with the beliefs that decided it", "[tool]")
{
    ToolFixture fixture;
    const Poco::TemporaryFile file;
    const std::string& path = file.path();
    std::ofstream(path) << R"(33.1 b {"at_ms":1000,"instance":"b","event":"lease_lost"}
not a line of ours
{"at_ms":900,"instance":"a","event":"primary_record","group":"g","phase":"1"}
{"at_ms":950,"instance":"a","event":"primary_record","group":"other","phase":"1"}
{"at_ms":1100,"instance":"b","event":"statement_refused","group":"g","request":"r1","why":"the primary cannot be used now"}
{"at_ms":1200,"instance":"b","event":"lease_gained"}
)";
    CHECK(fixture.run({ "explain", "log", "r1", path }) == ExitCode::Done);
    const std::string out = fixture.out.str();
    CHECK(out.find("primary_record") < out.find("lease_lost"));
    CHECK(out.find("lease_lost") < out.find("the primary cannot be used now"));
    CHECK_FALSE(contains(fixture.out, "lease_gained"));
    CHECK_FALSE(contains(fixture.out, "other"));
    CHECK(fixture.run({ "explain", "log", "r2", path }) == ExitCode::NotFound);
    std::remove(path.c_str());
}
