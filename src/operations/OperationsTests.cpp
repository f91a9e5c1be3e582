#include "operations/Operations.h"

#include "base/ResultCode.h"
#include "configuration/StoreFleet.h"
#include "operations/GossipJson.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

// The methods of the first of two daemons, on virtual time.
struct OperationsFixture {
    OperationsFixture()
        : fleet(1)
        , journal({})
    {
        fleet.add(2);
        operations = std::make_unique<Operations>(OperationsPorts {
            fleet.store(0),
            journal,
            [this] { return status; },
            [this] { status.isDraining = true; },
        });
        status.instance = StoreFleet::idOf(0);
    }

    absl::StatusOr<Json::Value> call(const std::string& method, const Json::Value& parameters = Json::objectValue)
    {
        absl::StatusOr<Json::Value> result = absl::CancelledError("no answer");
        operations->call(method, parameters, [&result](absl::StatusOr<Json::Value> answer) { result = std::move(answer); });
        fleet.loop.advance(Milliseconds(100));
        return result;
    }

    absl::StatusOr<Json::Value> apply(uint64_t base, const std::string& document)
    {
        Json::Value parameters;
        parameters["base"] = Json::UInt64(base);
        parameters["document"] = document;
        parameters["author"] = "k.marinova";
        return call("config.apply", parameters);
    }

    StoreFleet fleet;
    Journal journal;
    DaemonStatus status;
    std::unique_ptr<Operations> operations;
};

}

TEST_CASE("the config methods apply and show a configuration and list its changes", "[operations]")
{
    OperationsFixture fixture;
    CHECK(fixture.call("config.show").value()["version"].asUInt64() == 0);
    CHECK(fixture.apply(0, "defaults: {deadline: 3s}").value()["version"].asUInt64() == 1);
    const auto shown = fixture.call("config.show").value();
    CHECK(shown["version"].asUInt64() == 1);
    CHECK(shown["document"].asString().find("deadline: 3s") != std::string::npos);
    const auto history = fixture.call("config.history").value()["changes"];
    REQUIRE(history.size() == 1);
    CHECK(history[0]["author"].asString() == "k.marinova");
    CHECK(resultCodeOf(fixture.apply(0, "defaults: {deadline: 4s}").status()) == ResultCode::ConfigurationConflict);
    CHECK(resultCodeOf(fixture.apply(1, "defaults: {deadline: 4}").status()) == ResultCode::ConfigurationInvalid);
}

TEST_CASE("an unknown method and invalid parameters are refused", "[operations]")
{
    OperationsFixture fixture;
    Json::Value parameters(Json::objectValue);
    CHECK(resultCodeOf(fixture.call("config.reset").status()) == ResultCode::UnknownResource);
    CHECK(resultCodeOf(fixture.call("config.apply").status()) == ResultCode::MissingField);
    CHECK(resultCodeOf(fixture.call("status", Json::arrayValue).status()) == ResultCode::MalformedInput);
    parameters["version"] = "one";
    CHECK(resultCodeOf(fixture.call("gossip.fetch", parameters).status()) == ResultCode::WrongType);
    CHECK(resultCodeOf(fixture.call("drain", parameters).status()) == ResultCode::UnknownField);
    CHECK(resultCodeOf(fixture.call("explain").status()) == ResultCode::MissingField);
    CHECK_FALSE(fixture.status.isDraining);
}

TEST_CASE("explain returns the decisions on a request or on a group", "[operations]")
{
    OperationsFixture fixture;
    fixture.journal.record({ Instant(5), RequestId("r1"), DatabaseId("fitting-1"), "read", "at fitting-1-b" });
    fixture.journal.record({ Instant(6), RequestId(), DatabaseId("fitting-1"), "promote", "the primary is silent" });
    Json::Value parameters;
    parameters["request"] = "r1";
    CHECK(fixture.call("explain", parameters).value()["decisions"][0]["what"].asString() == "read");
    parameters.clear();
    parameters["database"] = "fitting-1";
    const auto explained = fixture.call("explain", parameters).value();
    REQUIRE(explained["decisions"].size() == 1);
    CHECK(explained["decisions"][0]["why"].asString() == "the primary is silent");
    CHECK(explained["instance"].asString() == StoreFleet::idOf(0).value());
}

TEST_CASE("the drain method starts draining and reports it", "[operations]")
{
    OperationsFixture fixture;
    CHECK(fixture.call("drain").value()["draining"].asBool());
    CHECK(fixture.status.isDraining);
}

TEST_CASE("another daemon receives the digest of a version by exchange and its body by fetch", "[operations]")
{
    OperationsFixture fixture;
    REQUIRE(fixture.apply(0, "defaults: {deadline: 3s}").ok());
    Json::Value parameters = digestToJson({});
    parameters["from"] = "instance-9";
    const auto digest = digestFromJson(fixture.call("gossip.exchange", parameters).value());
    REQUIRE(digest.ok());
    CHECK(digest->version == ConfigurationVersion(1));
    Json::Value wanted;
    wanted["version"] = 1;
    const auto body = fixture.call("gossip.fetch", wanted).value()["body"].asString();
    CHECK(hashOf(body) == digest->bodyHash);
    wanted["version"] = 7;
    CHECK(resultCodeOf(fixture.call("gossip.fetch", wanted).status()) == ResultCode::UnknownResource);
}

TEST_CASE("a daemon's status is unchanged after conversion to JSON and back", "[operations]")
{
    DaemonStatus status;
    status.instance = InstanceId("i1");
    status.version = ConfigurationVersion(7);
    status.isDraining = true;
    GroupReport group { DatabaseId("fitting-1"), Term(3), TargetId("a"), {} };
    TargetReport target;
    target.target = TargetId("a");
    target.status.role = TargetRole::Primary;
    target.status.term = Term(3);
    target.status.position = LogPosition(90);
    target.status.applied = LogPosition(89);
    target.status.age = Milliseconds(12);
    target.status.isLeaving = true;
    target.statusReceivedAgo = Milliseconds(150);
    target.isSuspect = true;
    target.home = InstanceId("i2");
    group.targets.push_back(target);
    status.groups.push_back(group);
    status.instances.push_back({ InstanceId("i1"), FailureDomainId("plateau"), "127.0.0.1", 7001, 7101, true });
    const auto again = daemonStatusFromJson(toJson(status));
    REQUIRE(again.ok());
    CHECK(toJson(*again) == toJson(status));
    CHECK(again->groups[0].targets[0].status.applied == LogPosition(89));
    CHECK_FALSE(daemonStatusFromJson(Json::Value("text")).ok());
}
