#include "directory/TargetRoster.h"

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

// Pattern: the platform was away, and entries lapsed meanwhile.
TEST_CASE("a target that lapsed from the list is used until its entry is overdue", "[directory]")
{
    TargetRoster roster;
    roster.take({ entryOf("one"), entryOf("two") }, Instant(0));
    roster.take({ entryOf("two") }, Instant(1000));
    CHECK(roster.targets(Instant(1000)).size() == 2);
    CHECK(roster.nextChange() == Instant(3500));
    CHECK(roster.targets(Instant(3400)).size() == 2);
    CHECK(roster.targets(Instant(3500)).size() == 1);
    CHECK_FALSE(roster.nextChange());
}

TEST_CASE("a target that is back in time was never away", "[directory]")
{
    TargetRoster roster;
    roster.take({ entryOf("one") }, Instant(0));
    roster.take({}, Instant(1000));
    roster.take({ entryOf("one") }, Instant(2000));
    CHECK(roster.targets(Instant(10'000)).size() == 1);
}

TEST_CASE("a target that stays away is overdue from when it was first missed", "[directory]")
{
    TargetRoster roster;
    roster.take({ entryOf("one"), entryOf("two") }, Instant(0));
    roster.take({ entryOf("two") }, Instant(1000));
    roster.take({ entryOf("two") }, Instant(2000));
    CHECK(roster.targets(Instant(3500)).size() == 1);
}
