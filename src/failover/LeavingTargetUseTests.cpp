#include "failover/LeavingTargetUse.h"

#include "base/VirtualLoop.h"
#include "platform_ports/FakeRows.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

constexpr Milliseconds maxUse { 4000 };

struct LeavingFixture {
    VirtualLoop loop;
    FakeTables tables { loop };
    FakeRows rows { loop, tables };
    InstanceLease lease { loop, rows, InstanceId("daemon"), "first", {} };
    KnownTargets known { { TargetId("one"), {} } };
    TargetEntry entry;

    LeavingFixture()
    {
        lease.start();
        loop.advance(Milliseconds(2000));
        entry.target.id = TargetId("one");
        entry.isLeaving = true;
    }

    LeavingTargetUse use() const { return { known, lease, loop.now(), maxUse }; }
};

}

TEST_CASE("a target that does not leave may be used without an end", "[failover]")
{
    LeavingFixture fixture;
    fixture.entry.isLeaving = false;
    CHECK(fixture.use().usableUntil(fixture.entry) == Instant::max());
    CHECK_FALSE(fixture.use().leavingSinceInRow(fixture.entry, fixture.known[TargetId("one")]));
}

// Guards against a daemon that was started while a target leaves, and takes its time for over.
TEST_CASE("a daemon that does not know since when a target leaves learns it from the row", "[failover]")
{
    LeavingFixture fixture;
    CHECK_FALSE(fixture.use().isUsable(fixture.entry));
    TargetEntry seen = fixture.entry;
    seen.leavingSince = fixture.loop.now() - Milliseconds(1000);
    KnownTarget& known = fixture.known[TargetId("one")];
    known.leavingSince = fixture.use().leavingSinceInRow(seen, known);
    REQUIRE(known.leavingSince);
    fixture.loop.advance(Milliseconds(1400));
    CHECK(fixture.use().isUsable(fixture.entry));
    CHECK(fixture.use().isWorthPromoting(fixture.entry));
    fixture.loop.advance(Milliseconds(200));
    CHECK_FALSE(fixture.use().isWorthPromoting(fixture.entry));
    fixture.loop.advance(Milliseconds(1500));
    CHECK_FALSE(fixture.use().isUsable(fixture.entry));
}
