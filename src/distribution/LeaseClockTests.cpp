#include "base/VirtualLoop.h"
#include "fleet/NodeLoop.h"
#include "leases/InstanceLease.h"
#include "platform_ports/FakeRows.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

// The time of the platform is extrapolated by the holder's clock. An earlier time would make the lease expire for others while it is in use.
TEST_CASE("a row renewed after a long outage is not dated back although the holder's clock is slow", "[distribution]")
{
    VirtualLoop loop;
    FakeTables tables { loop };
    NodeLoop slow(loop, 0.997);
    FakeRows rows { slow, tables };
    InstanceLease lease(slow, rows, InstanceId("one"), "first", {});
    const auto row = [&tables] { return *decodeLeaseRow(*tables.find(leaseTable, "one")); };
    lease.start();
    loop.advance(Milliseconds(3000));
    rows.isCut = true;
    loop.advance(Milliseconds(120'000));
    rows.isCut = false;
    const Instant before = row().requestedAt;
    while (row().requestedAt == before)
        loop.advance(Milliseconds(5));
    CHECK(tables.time() - row().requestedAt <= Milliseconds(100));
    rows.isCut = true;
    while (!isExpired(row(), tables.time()))
        loop.advance(Milliseconds(5));
    CHECK_FALSE(lease.isValid());
}
