#include "leases/InstanceLease.h"
#include "leases/LeaseRow.h"

#include "base/VirtualLoop.h"
#include "platform_ports/FakeRows.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

struct LeaseScene {
    VirtualLoop loop;
    FakeTables tables { loop };
    FakeRows rows { loop, tables };
    InstanceLease lease { loop, rows, InstanceId("one"), "first", {} };

    LeaseRow row() const
    {
        const std::string* value = tables.find(leaseTable, "one");
        REQUIRE(value);
        auto decoded = decodeLeaseRow(*value);
        REQUIRE(decoded.ok());
        return *std::move(decoded);
    }
};

}

TEST_CASE("a lease ends when its renewals fail, and comes back with the first that succeeds", "[leases]")
{
    LeaseScene scene;
    scene.lease.start();
    scene.loop.advance(Milliseconds(3000));
    REQUIRE(scene.lease.isValid());
    scene.rows.isCut = true;
    scene.loop.advance(scene.row().length);
    CHECK_FALSE(scene.lease.isValid());
    scene.rows.isCut = false;
    scene.loop.advance(Milliseconds(2000));
    CHECK(scene.lease.isValid());
}

// Stated target: 460 daemons, changes of primary within 20 s, also beside a daemon that went away without a word.
TEST_CASE("the lease of a fleet of 460 daemons leaves time for a change of primary within 20 s", "[leases]")
{
    LeaseScene scene;
    scene.lease.setDaemons(460);
    scene.lease.start();
    scene.loop.advance(Milliseconds(10'000));
    // Finding out, choosing and promoting take some 3 s.
    CHECK(scene.row().length <= Milliseconds(17'000));
}

TEST_CASE("a released lease is no longer valid, and its row is gone", "[leases]")
{
    LeaseScene scene;
    scene.lease.start();
    scene.loop.advance(Milliseconds(3000));
    bool isReleased = false;
    scene.lease.release([&isReleased] { isReleased = true; });
    CHECK_FALSE(scene.lease.isValid());
    scene.loop.advance(Milliseconds(3000));
    CHECK(isReleased);
    CHECK(scene.tables.find(leaseTable, "one") == nullptr);
}
