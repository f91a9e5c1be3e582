#include "platform_ports/FakePlatform.h"

#include "base/ResultCode.h"
#include "base/VirtualLoop.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

TEST_CASE("of two writes with the same etag one is refused", "[platform]")
{
    VirtualLoop loop;
    FakePlatform platform(loop, {});
    auto client = platform.connect();
    std::vector<ResultCode> codes;
    for (const char* it : { "first", "second" })
        client->write("row", it, "", [&codes](const auto& row) { codes.push_back(resultCodeOf(row.status())); });
    loop.advance(Milliseconds(100));
    CHECK(codes == std::vector<ResultCode> { ResultCode::Done, ResultCode::ConfigurationConflict });
    CHECK(platform.row("row")->value == "first");
    CHECK(platform.counts().writes == 2);
}

TEST_CASE("each fault of the fake platform shows as its kind of silence", "[platform]")
{
    VirtualLoop loop;
    FakePlatform platform(loop, {});
    auto client = platform.connect();
    absl::Status status;
    const auto write = [&] {
        client->write("row", "value", "", [&status](const auto& row) { status = row.status(); });
        loop.advance(Milliseconds(2000));
    };
    SECTION("down: nothing happens")
    {
        platform.setDown(true);
        write();
        CHECK_FALSE(platform.row("row").has_value());
    }
    SECTION("cut off: nothing happens")
    {
        client->setCut(true);
        write();
        CHECK_FALSE(platform.row("row").has_value());
    }
    SECTION("lost answer: the effect stays")
    {
        platform.loseNextWriteAnswer();
        write();
        CHECK(platform.row("row").has_value());
    }
    SECTION("a write held back takes effect after its client gave up")
    {
        platform.delayNextWrite(Milliseconds(5000));
        write();
        CHECK_FALSE(platform.row("row").has_value());
        loop.advance(Milliseconds(5000));
        CHECK(platform.row("row").has_value());
    }
    CHECK(resultCodeOf(status) == ResultCode::PlatformUnavailable);
}

TEST_CASE("the list of instances lags", "[platform]")
{
    VirtualLoop loop;
    FakePlatform platform(loop, {});
    auto client = platform.connect();
    size_t seen = 0;
    const auto look = [&] {
        client->list([&seen](const auto& list) { seen = list.ok() ? list->instances.size() : 0; });
        loop.advance(Milliseconds(100));
        return seen;
    };
    PlatformList list;
    list.instances.push_back({ InstanceId("a"), FailureDomainId("plateau"), "127.0.0.1", 1, 2, false });
    platform.setList(list);
    CHECK(look() == 0);
    loop.advance(Milliseconds(3000));
    CHECK(look() == 1);
}
