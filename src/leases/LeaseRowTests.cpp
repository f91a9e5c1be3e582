#include "leases/LeaseRow.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

LeaseRow rowWithMember()
{
    LeaseRow row;
    row.incarnation = "first";
    row.duration = Milliseconds(6000);
    row.addresses = { FailureDomainId("one"), "10.0.0.1", 1, 2, 3, 0.35 * 0.4, 4, 12.5 };
    LeaseMember member { InstanceId("b"), row.addresses, 7 };
    member.addresses.cores = 0.5;
    member.addresses.linkMbps = 200;
    row.members.push_back(member);
    return row;
}

}

// Every daemon derives the homes of a group from these numbers, and compares with its own, which it takes from its settings.
TEST_CASE("cores and bandwidth of holder and members are decoded as they were encoded", "[leases]")
{
    const auto row = decodeLeaseRow(encodeLeaseRow(rowWithMember()));
    REQUIRE(row.ok());
    CHECK(row->addresses.cores == 0.35 * 0.4);
    CHECK(row->addresses.linkMbps == 12.5);
    REQUIRE(row->members.size() == 1);
    CHECK(row->members[0].addresses.cores == 0.5);
    CHECK(row->members[0].addresses.linkMbps == 200);
}

// Daemons of an earlier version announce no bandwidth. Every daemon reads all rows, so an unknown value takes no space.
TEST_CASE("a row without cores and bandwidth is valid, and unknown values are not encoded", "[leases]")
{
    LeaseRow row = rowWithMember();
    const size_t fullBytes = encodeLeaseRow(row).size();
    row.addresses.cores = row.addresses.linkMbps = 0;
    row.members[0].addresses.cores = row.members[0].addresses.linkMbps = 0;
    const std::string text = encodeLeaseRow(row);
    CHECK(text.find("cores") == std::string::npos);
    CHECK(text.find("link_mbps") == std::string::npos);
    CHECK(text.size() < fullBytes);
    const auto decoded = decodeLeaseRow(text);
    REQUIRE(decoded.ok());
    CHECK(decoded->addresses.cores == 0);
    CHECK(decoded->addresses.linkMbps == 0);
    CHECK(decoded->members[0].addresses.linkMbps == 0);
}

// The bandwidth may take 20 bytes for each daemon at most: in a fleet of 460 daemons that is a few percent of all rows.
TEST_CASE("the bandwidth adds at most 20 bytes to a row for each daemon", "[leases]")
{
    constexpr size_t addedBytes = 40;
    LeaseRow row = rowWithMember();
    const size_t fullBytes = encodeLeaseRow(row).size();
    row.addresses.linkMbps = row.members[0].addresses.linkMbps = 0;
    CHECK(fullBytes <= encodeLeaseRow(row).size() + addedBytes);
}

// Daemons of an earlier version do not say since when they have been connected.
TEST_CASE("since when a daemon has been connected is decoded as it was encoded, and zero if it is missing", "[leases]")
{
    LeaseRow row = rowWithMember();
    CHECK(decodeLeaseRow(encodeLeaseRow(row))->connectedSince == Instant());
    row.connectedSince = Instant(1'600'000'012'345.5);
    CHECK(decodeLeaseRow(encodeLeaseRow(row))->connectedSince == row.connectedSince);
}
