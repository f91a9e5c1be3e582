#include "directory/TableWatch.h"

#include "base/VirtualLoop.h"
#include "platform_ports/FakeRows.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

constexpr Milliseconds watchTimeout { 7500 };

struct WatchFixture {
    VirtualLoop loop;
    FakeTables tables { loop };
    FakeRows rows { loop, tables };
    size_t rowCount { 0 };
    int outages { 0 };
    int reports { 0 };
    TableWatch watch { loop, rows, "op", watchTimeout, [this](const TableWatch::Rows& it) { rowCount = it.size(); ++reports; }, [this](const absl::Status& it) { outages += it.ok() ? 0 : 1; } };

    WatchFixture()
    {
        rows.onEraChanged([this](PlatformEra era) { watch.beginEra(era); });
        rows.onReachedAgain([this](Instant sent) { watch.replaceOlderRequest(sent); });
    }
};

}

TEST_CASE("a watch reports the rows of the table and then each change", "[directory]")
{
    WatchFixture fixture;
    fixture.tables.put("op", "a", "1");
    fixture.watch.start();
    fixture.loop.advance(Milliseconds(20));
    CHECK(fixture.rowCount == 1);
    fixture.loop.advance(Milliseconds(20'000));
    fixture.tables.put("op", "b", "1");
    fixture.loop.advance(Milliseconds(20));
    CHECK(fixture.rowCount == 2);
    CHECK(fixture.outages == 0);
}

// Without the delay, all daemons of a large fleet receive an answer and send a new watch request for each of several targets
// that start one after the other.
TEST_CASE("changes in quick succession are reported together when a delay is set", "[directory]")
{
    WatchFixture fixture;
    fixture.watch.setChangeDelay(Milliseconds(400));
    fixture.watch.start();
    fixture.loop.advance(Milliseconds(20));
    const int before = fixture.reports;
    for (int n = 0; n < 20; ++n) {
        fixture.tables.put("op", std::to_string(n), "1");
        fixture.loop.advance(Milliseconds(50));
    }
    fixture.loop.advance(Milliseconds(500));
    CHECK(fixture.rowCount == 20);
    CHECK(fixture.reports - before <= 4);
}

TEST_CASE("a watch reads the table again when the platform no longer has the changes since its last answer", "[directory]")
{
    WatchFixture fixture;
    fixture.tables.put("op", "a", "1");
    fixture.watch.start();
    fixture.loop.advance(Milliseconds(20));
    fixture.tables.remove("op", "a");
    fixture.tables.put("op", "b", "1");
    fixture.tables.put("op", "c", "1");
    fixture.tables.forgetHistory();
    fixture.loop.advance(Milliseconds(6));
    // The rows of the first read stay in use until the table was read again.
    CHECK(fixture.watch.hasBeenRead());
    fixture.loop.advance(Milliseconds(50));
    CHECK(fixture.rowCount == 2);
}

// The platform may stop answering while its machine keeps connections open. A watch request sent in that time stays unanswered
// even when the platform answers new calls again.
TEST_CASE("a watch request sent during an outage is replaced once another call is answered", "[directory]")
{
    WatchFixture fixture;
    fixture.watch.start();
    fixture.loop.advance(watchTimeout - Milliseconds(500));
    fixture.rows.isCut = true;
    fixture.loop.advance(Milliseconds(1000));
    fixture.tables.put("op", "a", "1");
    fixture.rows.transact({}, [](const auto&) {});
    fixture.loop.advance(Milliseconds(1000));
    fixture.rows.isCut = false;
    fixture.rows.transact({}, [](const auto&) {});
    fixture.loop.advance(Milliseconds(20));
    CHECK(fixture.rowCount == 1);
    // One watch request failed during the outage. The failure of the replaced request is ignored.
    fixture.loop.advance(watchTimeout + watchTimeout);
    CHECK(fixture.outages == 1);
}

TEST_CASE("a watch request is not replaced when it was sent after the call that ended the outage", "[directory]")
{
    WatchFixture fixture;
    fixture.watch.start();
    fixture.loop.advance(Milliseconds(20));
    fixture.rows.isCut = true;
    fixture.watch.replaceOlderRequest(Instant(0));
    fixture.loop.advance(Milliseconds(20));
    fixture.rows.isCut = false;
    fixture.tables.put("op", "a", "1");
    fixture.loop.advance(Milliseconds(20));
    CHECK(fixture.rowCount == 1);
}

// A watch request that was sent before the platform returned from a copy may wait for a version that is gone, without an answer.
TEST_CASE("a watch reads the table again as soon as any answer tells a new era", "[directory]")
{
    WatchFixture fixture;
    fixture.tables.put("op", "a", "1");
    fixture.watch.start();
    fixture.loop.advance(Milliseconds(20));
    const FakeTables::Copy copy = fixture.tables.copy();
    fixture.tables.put("op", "b", "1");
    fixture.loop.advance(Milliseconds(20));
    REQUIRE(fixture.rowCount == 2);
    fixture.tables.dropWatches();
    fixture.tables.restore(copy);
    fixture.rows.transact({}, [](const auto&) {});
    fixture.loop.advance(Milliseconds(20));
    CHECK(fixture.rowCount == 1);
    CHECK(fixture.watch.version().era() == firstEra.next());
}

// The numbers of the platform have passed that of the watch before it is sent again. Without the era it would skip all changes below.
TEST_CASE("a watch that resumes above the platform's number in a new era reads the table again", "[directory]")
{
    WatchFixture fixture;
    fixture.tables.put("op", "a", "1");
    fixture.watch.start();
    fixture.loop.advance(Milliseconds(20));
    const FakeTables::Copy copy = fixture.tables.copy();
    fixture.tables.put("op", "lost", "1");
    fixture.loop.advance(Milliseconds(20));
    fixture.rows.isCut = true;
    fixture.tables.restore(copy);
    for (const std::string it : { "b", "c", "d", "e" })
        fixture.tables.put("op", it, "1");
    fixture.loop.advance(watchTimeout + Milliseconds(1000));
    fixture.rows.isCut = false;
    fixture.loop.advance(Milliseconds(10'000));
    CHECK(fixture.rowCount == 5);
}
