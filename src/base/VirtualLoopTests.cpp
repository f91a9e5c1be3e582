#include "base/VirtualLoop.h"

#include <catch2/catch.hpp>
#include <string>

using namespace parsleypaddle;

TEST_CASE("virtual timers run in order of due time, and in order of creation when due at the same time", "[base]")
{
    VirtualLoop loop;
    std::string order;
    loop.after(Milliseconds(5), [&] { order += 'c'; });
    loop.after(Milliseconds(1), [&] { order += 'a'; });
    loop.after(Milliseconds(1), [&] { order += 'b'; });
    loop.advance(Milliseconds(4));
    CHECK(order == "ab");
    loop.advance(Milliseconds(1));
    CHECK(order == "abc");
}

TEST_CASE("a cancelled virtual timer never runs", "[base]")
{
    VirtualLoop loop;
    bool ran = false;
    const TimerId timer = loop.after(Milliseconds(1), [&] { ran = true; });
    loop.cancel(timer);
    loop.advance(Milliseconds(10));
    CHECK_FALSE(ran);
}
