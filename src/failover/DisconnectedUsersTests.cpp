#include "failover/DisconnectedUsers.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

constexpr uint64_t epoch = 50;
constexpr double now = 100'000;

struct Lease {
    std::string instance;
    std::string domain;
    /// Of its row.
    uint64_t version;
    double requestedAt;
    double connectedSince;
};

LeaseTable tableOf(const std::vector<Lease>& leases)
{
    LeaseTable table;
    table.platformTime = Instant(now);
    for (const auto& it : leases) {
        LeaseRow row;
        row.requestedAt = Instant(it.requestedAt);
        row.duration = Milliseconds(6000);
        row.addresses.failureDomain = FailureDomainId(it.domain);
        row.connectedSince = Instant(it.connectedSince);
        table.entries.push_back({ InstanceId(it.instance), row, RowVersion(firstEra, it.version), it.instance });
    }
    return table;
}

std::vector<InstanceId> find(const std::vector<Lease>& leases, const std::string& primaryDomain = "north")
{
    return findDisconnectedUsers(tableOf(leases), { RowVersion(firstEra, epoch), Instant(now - 7000), FailureDomainId(primaryDomain) });
}

const Lease connected { "b", "south", 60, now - 100, 0 };
const Lease expired { "a", "north", 40, now - 6500, 0 };

}

TEST_CASE("daemons that have released the primary while they reach the platform are not disconnected", "[failover]")
{
    CHECK(find({ connected, { "a", "north", 51, now - 50, 0 } }).empty());
}

TEST_CASE("a daemon whose lease has expired without a release may have used the primary out of the platform's reach", "[failover]")
{
    CHECK(find({ connected, expired }) == std::vector<InstanceId> { InstanceId("a") });
}

// The list needs some time until it has the targets of a failure domain that was cut off.
TEST_CASE("a daemon that reaches the platform again is disconnected until the targets of its failure domain are listed", "[failover]")
{
    CHECK(find({ connected, { "a", "north", 60, now - 100, now - 2000 } }).size() == 1);
    CHECK(find({ connected, { "a", "north", 60, now - 100, now - 3000 } }).empty());
}

TEST_CASE("another daemon in the primary's failure domain shows that the domain was not cut off", "[failover]")
{
    const Lease neighbour { "c", "north", 60, now - 100, 0 };
    CHECK(find({ connected, expired, neighbour }).empty());
    CHECK(find({ connected, expired, neighbour }, "south").empty());
    CHECK(find({ connected, expired, neighbour }, "west").size() == 1);
    // The failure domain of the primary is not known.
    CHECK(find({ connected, expired, neighbour }, "").size() == 1);
}

// Guards against a failure domain that is cut off just after its first daemon has released the primary.
TEST_CASE("a daemon in the primary's failure domain shows nothing for the time after its last renewal", "[failover]")
{
    const Lease neighbour { "c", "north", 60, now - 600, 0 };
    CHECK(find({ connected, expired, neighbour }).size() == 1);
    const Lease reconnected { "a", "north", 61, now - 100, now - 1500 };
    CHECK(find({ connected, reconnected, neighbour }).empty());
    CHECK(find({ connected, reconnected, { "c", "north", 60, now - 1600, 0 } }).size() == 1);
}

TEST_CASE("a daemon that has released the primary and ended since then is not disconnected", "[failover]")
{
    CHECK(find({ connected, { "a", "north", 51, now - 6500, 0 } }).empty());
    CHECK(find({ connected, { "a", "north", 51, now - 6500, now - 8000 } }).size() == 1);
}

// Rows of instances that were removed for good stay in the table.
TEST_CASE("a lease that had expired long before the change began does not count", "[failover]")
{
    CHECK(find({ connected, { "a", "north", 3, now - 60'000, 0 } }).empty());
    CHECK(find({ connected, { "a", "north", 3, now - 30'000, 0 } }).size() == 1);
}
