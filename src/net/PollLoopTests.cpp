#include "net/PollLoop.h"

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace parsleypaddle;

TEST_CASE("the poll loop runs timers in order of due time, and tasks posted by other threads", "[net]")
{
    auto loop = PollLoop::create();
    REQUIRE(loop.ok());
    std::string order;
    (*loop)->after(Milliseconds(2), [&] { order += 'b'; });
    (*loop)->after(Milliseconds(1), [&] { order += 'a'; });
    std::thread other([&] {
        (*loop)->post([&] {
            (*loop)->after(Milliseconds(3), [&] {
                order += 'c';
                (*loop)->stop();
            });
        });
    });
    (*loop)->run();
    other.join();
    CHECK(order == "abc");
}

TEST_CASE("a readable watched descriptor is reported, and unwatch() does not close it", "[net]")
{
    auto loop = PollLoop::create();
    REQUIRE(loop.ok());
    std::array<int, 2> pair {};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()) == 0);
    (*loop)->watch(pair[0], Readiness::Read, [&](Readiness ready) {
        CHECK(has(ready, Readiness::Read));
        (*loop)->unwatch(pair[0]);
        (*loop)->stop();
    });
    REQUIRE(write(pair[1], "x", 1) == 1);
    (*loop)->run();
    char buf = 0;
    CHECK(read(pair[0], &buf, 1) == 1);
    close(pair[0]);
    close(pair[1]);
}

TEST_CASE("after a watched descriptor was closed, unwatch() succeeds and its number can be watched again", "[net]")
{
    auto loop = PollLoop::create();
    REQUIRE(loop.ok());
    std::array<int, 2> first {};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, first.data()) == 0);
    (*loop)->watch(first[0], Readiness::Read, [](Readiness) { FAIL("an event was reported for the closed descriptor"); });
    close(first[0]);
    close(first[1]);
    const bool isUnwatched = GENERATE(true, false);
    if (isUnwatched)
        (*loop)->unwatch(first[0]);

    std::array<int, 2> second {};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, second.data()) == 0);
    REQUIRE(second[0] == first[0]);
    bool isReported = false;
    (*loop)->watch(second[0], Readiness::Read, [&](Readiness) {
        isReported = true;
        (*loop)->unwatch(second[0]);
        (*loop)->stop();
    });
    REQUIRE(write(second[1], "x", 1) == 1);
    (*loop)->run();
    CHECK(isReported);
    close(second[0]);
    close(second[1]);
}
