#include "directory/TargetList.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

TargetEntry entryOf(const std::string& id)
{
    TargetEntry entry;
    entry.target.id = TargetId(id);
    return entry;
}

}

// Entries of running targets expire while the platform is unavailable, so these targets must not be dropped at once.
TEST_CASE("a target missing from the list is used until its grace period ends", "[directory]")
{
    TargetList roster;
    roster.setListed({ entryOf("one"), entryOf("two") }, Instant(0));
    roster.setListed({ entryOf("two") }, Instant(1000));
    CHECK(roster.targets(Instant(1000)).size() == 2);
    CHECK(roster.nextExpiry() == Instant(3500));
    CHECK(roster.targets(Instant(3400)).size() == 2);
    CHECK(roster.targets(Instant(3500)).size() == 1);
    CHECK_FALSE(roster.nextExpiry());
}

TEST_CASE("a target that is listed again within its grace period stays in use", "[directory]")
{
    TargetList roster;
    roster.setListed({ entryOf("one") }, Instant(0));
    roster.setListed({}, Instant(1000));
    roster.setListed({ entryOf("one") }, Instant(2000));
    CHECK(roster.targets(Instant(10'000)).size() == 1);
}

TEST_CASE("the grace period starts with the first list that does not contain the target and is not restarted by later ones", "[directory]")
{
    TargetList roster;
    roster.setListed({ entryOf("one"), entryOf("two") }, Instant(0));
    roster.setListed({ entryOf("two") }, Instant(1000));
    roster.setListed({ entryOf("two") }, Instant(2000));
    CHECK(roster.targets(Instant(3500)).size() == 1);
}
