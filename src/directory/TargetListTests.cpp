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
    CHECK(roster.nextExpiry(Instant(1000)) == Instant(3500));
    CHECK(roster.targets(Instant(3400)).size() == 2);
    CHECK(roster.targets(Instant(3500)).size() == 1);
    CHECK_FALSE(roster.nextExpiry(Instant(3500)));
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

// Guards against failovers after a cut of a failure domain has ended: an entry disappears up to 3.6 s after the beginning of a cut of 6.4 s,
// and is back two seconds after its end.
TEST_CASE("a target that runs in a failure domain that was cut off stays in use until it is listed again", "[directory]")
{
    TargetList roster(TargetList::gracePeriodFor(Milliseconds(10'000)));
    roster.setListed({ entryOf("one"), entryOf("two") }, Instant(0));
    roster.setListed({ entryOf("two") }, Instant(2400));
    CHECK(roster.targets(Instant(8400)).size() == 2);
    SECTION("and is no longer used when it may be gone")
    {
        CHECK(roster.nextExpiry(Instant(8400)) == Instant(9400));
        CHECK(roster.targets(Instant(9400)).size() == 1);
    }
    SECTION("but one that was leaving is gone")
    {
        TargetEntry leaving = entryOf("two");
        leaving.isLeaving = true;
        roster.setListed({ entryOf("one"), leaving }, Instant(8500));
        roster.setListed({ entryOf("one") }, Instant(9000));
        CHECK(roster.targets(Instant(11'400)).size() == 2);
        CHECK(roster.targets(Instant(11'500)).size() == 1);
    }
}

TEST_CASE("the grace period leaves time for lists that arrive late and for statements that wait", "[directory]")
{
    CHECK(TargetList::gracePeriodFor(Milliseconds(7000)) == Milliseconds(4000));
    CHECK(TargetList::gracePeriodFor(Milliseconds(0)) == TargetList::defaultGracePeriod);
}

// The platform returns from a copy that was made before the target reported that it would shut down. It is listed again within two
// seconds; until then it must not be given new work.
TEST_CASE("a target that was leaving is not used because of an older entry", "[directory]")
{
    const auto listed = [](uint64_t sequence, bool isLeaving) {
        TargetEntry entry = entryOf("one");
        entry.sequence = sequence;
        entry.isLeaving = isLeaving;
        return std::vector<TargetEntry> { entry };
    };
    TargetList roster;
    roster.setListed(listed(6, false), Instant(0));
    roster.setListed(listed(7, true), Instant(500));
    roster.setListed(listed(5, false), Instant(1000));
    CHECK(roster.targets(Instant(1000)).front().isLeaving);
    CHECK(roster.nextExpiry(Instant(1000)) == Instant(3500));
    SECTION("until it is listed as leaving again")
    {
        roster.setListed(listed(8, true), Instant(2000));
        CHECK(roster.targets(Instant(9000)).front().isLeaving);
        CHECK(roster.targets(Instant(9000)).front().leavingSince == Instant(500));
    }
    SECTION("unless it has restarted and counts from the beginning")
    {
        CHECK_FALSE(roster.targets(Instant(3500)).front().isLeaving);
        CHECK_FALSE(roster.nextExpiry(Instant(3500)));
    }
    SECTION("unless it has changed its mind")
    {
        roster.setListed(listed(8, false), Instant(2000));
        CHECK_FALSE(roster.targets(Instant(2000)).front().isLeaving);
    }
}

// A daemon that has just started does not know for how long a leaving target has been leaving.
TEST_CASE("the list says since when a target is leaving, unless it was so from the beginning", "[directory]")
{
    TargetEntry leaving = entryOf("one");
    leaving.isLeaving = true;
    TargetList roster;
    SECTION("since the first list that says so")
    {
        roster.setListed({ entryOf("one") }, Instant(0));
        roster.setListed({ leaving }, Instant(1000));
        roster.setListed({ leaving }, Instant(2000));
        CHECK(roster.targets(Instant(2000)).front().leavingSince == Instant(1000));
    }
    SECTION("unknown in the first list")
    {
        roster.setListed({ leaving }, Instant(0));
        roster.setListed({ leaving }, Instant(1000));
        CHECK_FALSE(roster.targets(Instant(1000)).front().leavingSince);
    }
}

// Guards against a target that is taken for ended although it is cut off from the platform only, and still receives from its primary.
TEST_CASE("a leaving target has left if it disappears sooner than one that has stopped to report", "[directory]")
{
    TargetList roster(TargetList::defaultGracePeriod, Milliseconds(1200));
    TargetEntry leaving = entryOf("one");
    leaving.isLeaving = true;
    leaving.sequence = 7;
    TargetEntry staying = entryOf("two");
    roster.setListed({ leaving, staying }, Instant(0));
    leaving.sequence = 8;
    roster.setListed({ leaving, staying }, Instant(1200));
    const auto hasLeft = [&roster](Instant now) {
        std::vector<bool> left;
        for (const auto& it : roster.targets(now))
            left.push_back(it.hasLeft);
        return left;
    };
    SECTION("soon after a report")
    {
        roster.setListed({}, Instant(1700));
        CHECK(hasLeft(Instant(1700)) == std::vector<bool> { true, false });
    }
    SECTION("three intervals after it")
    {
        roster.setListed({}, Instant(4800));
        CHECK(hasLeft(Instant(4800)) == std::vector<bool> { false, false });
    }
    SECTION("while it is listed")
    {
        CHECK(hasLeft(Instant(1300)) == std::vector<bool> { false, false });
    }
}
