#include "directory/WatchTimes.h"

#include "base/VirtualLoop.h"
#include "directory/TableWatch.h"
#include "platform_ports/FakeRows.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

// Guards against old configurations in force: a response to a watch is lost while no other call is under way, so nothing but the watch's own
// time-out shows it.
TEST_CASE("a change whose response is lost is known within its bound", "[directory]")
{
    const Milliseconds bound(GENERATE(3000, 5000, 6000, 7000, 9000));
    // When the change is written, as a part of the time that a watch request waits.
    const double part = GENERATE(0.02, 0.5, 0.98);
    CAPTURE(bound.count(), part);
    VirtualLoop loop;
    FakeTables tables(loop);
    FakeRows rows(loop, tables);
    size_t rowCount = 0;
    const Milliseconds holdTime = watchHoldTime(bound);
    TableWatch watch(
        loop, rows, "op", holdTime, [&rowCount](const TableWatch::Rows& it) { rowCount = it.size(); }, [](const absl::Status&) {});
    watch.start();
    // The first answer arrives after 8 ms, and the next request waits from then on.
    loop.advance(Milliseconds(20) + holdTime * part);
    rows.losesWatchAnswers = true;
    tables.put("op", "config", "1");
    loop.advance(Milliseconds(20));
    rows.losesWatchAnswers = false;
    loop.advance(bound - Milliseconds(20));
    CHECK(rowCount == 1);
}

TEST_CASE("a watch request waits no longer than a bound allows, and not for less than half a second", "[directory]")
{
    CHECK(watchHoldTime(Milliseconds(60'000)) == Milliseconds(7500));
    CHECK(watchHoldTime(Milliseconds(0)) == Milliseconds(500));
    CHECK(watchHoldTime(Milliseconds(3000)) + platformCallTimeout + watchRetryDelay < Milliseconds(3000));
}
