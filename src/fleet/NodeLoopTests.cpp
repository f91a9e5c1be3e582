#include "fleet/NodeLoop.h"

#include "base/VirtualLoop.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

TEST_CASE("a paused daemon's due timers run when it goes on, unless cancelled meanwhile", "[fleet]")
{
    VirtualLoop shared;
    NodeLoop loop(shared);
    std::string ran;
    TimerId second = TimerId::None;
    const TimerId first = loop.after(Milliseconds(1), [&] { ran += "1"; });
    loop.after(Milliseconds(2), [&] {
        ran += "2";
        loop.cancel(second);
    });
    second = loop.after(Milliseconds(3), [&] { ran += "3"; });
    loop.setPaused(true);
    shared.advance(Milliseconds(10));
    CHECK(ran.empty());
    loop.cancel(first);
    loop.setPaused(false);
    CHECK(ran == "2");
}
