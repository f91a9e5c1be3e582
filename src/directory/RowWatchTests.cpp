#include "directory/RowWatch.h"

#include "base/VirtualLoop.h"
#include "platform_ports/FakeRows.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

constexpr Milliseconds wait { 7500 };

struct WatchScene {
    VirtualLoop loop;
    FakeTables tables { loop };
    FakeRows rows { loop, tables };
    size_t known { 0 };
    int losses { 0 };
    int told { 0 };
    RowWatch watch { loop, rows, "op", wait, [this](const RowWatch::Rows& it) { known = it.size(); ++told; }, [this](const absl::Status& it) { losses += it.ok() ? 0 : 1; } };

    WatchScene()
    {
        rows.onReachedAgain([this](Instant sent) { watch.renew(sent); });
    }
};

}

TEST_CASE("a watch tells what is there, and each change as it comes", "[directory]")
{
    WatchScene scene;
    scene.tables.put("op", "a", "1");
    scene.watch.start();
    scene.loop.advance(Milliseconds(20));
    CHECK(scene.known == 1);
    scene.loop.advance(Milliseconds(20'000));
    scene.tables.put("op", "b", "1");
    scene.loop.advance(Milliseconds(20));
    CHECK(scene.known == 2);
    CHECK(scene.losses == 0);
}

// Pattern: targets start one after the other before a large fleet, and each of them wakes every daemon's watch.
TEST_CASE("changes that come shortly after each other are told together where a pause is set", "[directory]")
{
    WatchScene scene;
    scene.watch.setPause(Milliseconds(400));
    scene.watch.start();
    scene.loop.advance(Milliseconds(20));
    const int before = scene.told;
    for (int n = 0; n < 20; ++n) {
        scene.tables.put("op", std::to_string(n), "1");
        scene.loop.advance(Milliseconds(50));
    }
    scene.loop.advance(Milliseconds(500));
    CHECK(scene.known == 20);
    CHECK(scene.told - before <= 4);
}

TEST_CASE("a watch whose history is forgotten reads anew", "[directory]")
{
    WatchScene scene;
    scene.tables.put("op", "a", "1");
    scene.watch.start();
    scene.loop.advance(Milliseconds(20));
    scene.tables.remove("op", "a");
    scene.tables.put("op", "b", "1");
    scene.tables.put("op", "c", "1");
    scene.tables.forgetHistory();
    scene.loop.advance(Milliseconds(6));
    // What was read before is still there meanwhile.
    CHECK(scene.watch.isKnown());
    scene.loop.advance(Milliseconds(50));
    CHECK(scene.known == 2);
}

// Pattern: the platform is silent while its machine lives; a watch sent meanwhile hangs although the platform is back.
TEST_CASE("a watch that hangs since the platform was away asks anew once another call is answered", "[directory]")
{
    WatchScene scene;
    scene.watch.start();
    scene.loop.advance(wait - Milliseconds(500));
    scene.rows.isCut = true;
    scene.loop.advance(Milliseconds(1000));
    scene.tables.put("op", "a", "1");
    scene.rows.transact({}, [](const auto&) {});
    scene.loop.advance(Milliseconds(1000));
    scene.rows.isCut = false;
    scene.rows.transact({}, [](const auto&) {});
    scene.loop.advance(Milliseconds(20));
    CHECK(scene.known == 1);
    // One watch ended while the platform was away; the one that hung counts no more when it ends.
    scene.loop.advance(wait + wait);
    CHECK(scene.losses == 1);
}

TEST_CASE("a watch that asked after the platform was back is left alone", "[directory]")
{
    WatchScene scene;
    scene.watch.start();
    scene.loop.advance(Milliseconds(20));
    scene.rows.isCut = true;
    scene.watch.renew(Instant(0));
    scene.loop.advance(Milliseconds(20));
    scene.rows.isCut = false;
    scene.tables.put("op", "a", "1");
    scene.loop.advance(Milliseconds(20));
    CHECK(scene.known == 1);
}
