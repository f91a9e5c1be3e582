#include "platform_http/HttpPlatform.h"

#include "base/ResultCode.h"
#include "platform_http/PlatformListJson.h"
#include "standin_program/PlatformServer.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

// The client against the stand-in's server, each call run to its answer.
struct PlatformFixture {
    explicit PlatformFixture(Milliseconds timeout = Milliseconds(5000))
        : server(std::move(*PlatformServer::create(0)))
        , loop(std::move(*PollLoop::create()))
        , workers(std::move(*WorkerPool::create(*loop, 2, 10)))
        , client(*loop, *workers, { "127.0.0.1", server->port(), timeout })
    {
    }

    template <typename T, typename Start>
    absl::StatusOr<T> await(const Start& start)
    {
        absl::StatusOr<T> result = absl::CancelledError("no answer");
        start([this, &result](absl::StatusOr<T> answer) {
            result = std::move(answer);
            loop->stop();
        });
        loop->run();
        return result;
    }

    absl::StatusOr<std::optional<TableRow>> read(const std::string& key)
    {
        return await<std::optional<TableRow>>([&](auto done) { client.read(key, done); });
    }

    absl::StatusOr<TableRow> write(const std::string& key, const std::string& value, const std::string& expected)
    {
        return await<TableRow>([&](auto done) { client.write(key, value, expected, done); });
    }

    absl::Status put(const std::string& name, const std::string& body)
    {
        return await<bool>([&](auto done) { client.put(name, body, [done](const absl::Status& status) { done(status.ok() ? absl::StatusOr<bool>(true) : status); }); }).status();
    }

    absl::StatusOr<std::optional<std::string>> get(const std::string& name)
    {
        return await<std::optional<std::string>>([&](auto done) { client.get(name, done); });
    }

    void control(const std::string& path, const std::string& body) { CHECK(server->state().answer({ "POST", path, body, "", "" }).status == 200); }

    std::unique_ptr<PlatformServer> server;
    std::unique_ptr<PollLoop> loop;
    std::unique_ptr<WorkerPool> workers;
    HttpPlatform client;
};

}

TEST_CASE("rows over HTTP are written only as expected", "[platform_http]")
{
    PlatformFixture fixture;
    CHECK_FALSE(fixture.read("row").value().has_value());
    const auto first = fixture.write("row", "one", "");
    REQUIRE(first.ok());
    CHECK(resultCodeOf(fixture.write("row", "two", "").status()) == ResultCode::ConfigurationConflict);
    const auto second = fixture.write("row", "two", first->etag);
    REQUIRE(second.ok());
    CHECK(resultCodeOf(fixture.write("row", "three", first->etag).status()) == ResultCode::ConfigurationConflict);
    CHECK(fixture.read("row").value()->value == "two");
    CHECK(fixture.read("row").value()->etag == second->etag);
}

TEST_CASE("objects over HTTP come back byte for byte", "[platform_http]")
{
    PlatformFixture fixture;
    const std::string body(300'000, 'x');
    CHECK_FALSE(fixture.get("body-1").value().has_value());
    CHECK(fixture.put("body-1", body + std::string("\0\r\n", 3)).ok());
    CHECK(fixture.get("body-1").value() == body + std::string("\0\r\n", 3));
}

TEST_CASE("the list of instances is read over HTTP", "[platform_http]")
{
    PlatformFixture fixture;
    fixture.control("/instances", R"({"instances":[{"instance":"i1","failure_domain":"plateau","host":"127.0.0.1","port":7001,"control_port":7101,"leaving":true}],"leaving_targets":["t1"]})");
    const auto list = fixture.await<PlatformList>([&](auto done) { fixture.client.list(done); });
    REQUIRE(list.ok());
    REQUIRE(list->instances.size() == 1);
    CHECK(list->instances[0].controlPort == 7101);
    CHECK(list->instances[0].isLeaving);
    CHECK(list->leavingTargets == std::vector<TargetId> { TargetId("t1") });

    // Unchanged, it is not sent again; changed, it is.
    CHECK(fixture.server->state().answer({ "GET", "/instances", "", "", "\"list-1\"" }).status == 304);
    CHECK(fixture.await<PlatformList>([&](auto done) { fixture.client.list(done); })->instances.size() == 1);
    fixture.control("/instances", R"({"instances":[],"leaving_targets":[]})");
    CHECK(fixture.await<PlatformList>([&](auto done) { fixture.client.list(done); })->instances.empty());
    for (const char* it : { "", "[]", R"({"instances":[{"instance":"i1"}]})", R"({"instances":[{"instance":"i1","host":"h","port":70000}]})", R"({"instances":[{"instance":{},"host":"h"}]})" })
        CHECK_FALSE(decodePlatformList(it).ok());
}

TEST_CASE("a silent or slow platform is reported within the timeout, and a lost answer leaves its effect", "[platform_http]")
{
    PlatformFixture fixture(Milliseconds(300));
    int failures = 0;
    fixture.client.onFailure([&failures] { ++failures; });
    SECTION("down")
    {
        fixture.control("/fault", R"({"down":true})");
        CHECK(resultCodeOf(fixture.read("row").status()) == ResultCode::PlatformUnavailable);
    }
    SECTION("slow")
    {
        fixture.control("/fault", R"({"slow_ms":2000})");
        const Instant start = fixture.loop->now();
        CHECK(resultCodeOf(fixture.read("row").status()) == ResultCode::PlatformUnavailable);
        CHECK(fixture.loop->now() - start < Milliseconds(1500));
    }
    SECTION("lost answer")
    {
        fixture.control("/fault", R"({"lose_answers":1})");
        CHECK(resultCodeOf(fixture.write("row", "one", "").status()) == ResultCode::PlatformUnavailable);
        CHECK(fixture.read("row").value()->value == "one");
    }
    CHECK(failures == 1);
}
