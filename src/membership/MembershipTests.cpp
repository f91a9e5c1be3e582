#include "membership/Membership.h"

#include "base/VirtualLoop.h"

#include <catch2/catch.hpp>
#include <set>

using namespace parsleypaddle;

namespace {

PlatformList listOf(unsigned count)
{
    PlatformList list;
    for (unsigned i = 0; i < count; ++i) {
        InstanceEntry entry;
        entry.instance = InstanceId("i" + std::to_string(i));
        entry.failureDomain = FailureDomainId(i % 2 ? "odd" : "even");
        list.instances.push_back(entry);
    }
    return list;
}

TargetConfiguration targetIn(const std::string& id, const std::string& domain)
{
    return { TargetId(id), {}, FailureDomainId(domain) };
}

}

TEST_CASE("a target's home is a daemon of its own failure domain", "[membership]")
{
    VirtualLoop loop;
    const auto list = listOf(8);
    Membership membership(loop, list.instances[0]);
    membership.setPlatformList(list);
    for (unsigned i = 0; i < 50; ++i) {
        const auto homes = membership.rankedDaemonsFor(targetIn("t" + std::to_string(i), "odd"));
        REQUIRE(homes.size() == 8);
        CHECK(membership.find(homes[0])->failureDomain == FailureDomainId("odd"));
    }
}

TEST_CASE("an unresponsive home ranks last for three seconds, a leaving one permanently", "[membership]")
{
    VirtualLoop loop;
    const auto list = listOf(6);
    Membership membership(loop, list.instances[0]);
    membership.setPlatformList(list);
    const auto target = targetIn("t", "even");
    const auto before = membership.rankedDaemonsFor(target);

    SECTION("unresponsive")
    {
        membership.reportUnresponsive(before[0]);
        CHECK(membership.rankedDaemonsFor(target).back() == before[0]);
        loop.advance(Milliseconds(3001));
        CHECK(membership.rankedDaemonsFor(target) == before);
    }
    SECTION("leaving, while the platform's list does not show it yet")
    {
        membership.setLeaving(before[0]);
        membership.setPlatformList(list);
        CHECK(membership.rankedDaemonsFor(target).back() == before[0]);
        loop.advance(Milliseconds(60'000));
        CHECK(membership.rankedDaemonsFor(target).back() == before[0]);
    }
}

TEST_CASE("when a daemon is removed, only the targets whose home it was get another home", "[membership]")
{
    VirtualLoop loop;
    auto list = listOf(10);
    Membership membership(loop, list.instances[0]);
    membership.setPlatformList(list);
    std::map<std::string, InstanceId> before;
    for (unsigned i = 0; i < 200; ++i)
        before["t" + std::to_string(i)] = membership.rankedDaemonsFor(targetIn("t" + std::to_string(i), "even"))[0];

    const InstanceId removed = list.instances[4].instance;
    list.instances.erase(list.instances.begin() + 4);
    membership.setPlatformList(list);
    unsigned moved = 0;
    for (const auto& [target, home] : before) {
        const auto after = membership.rankedDaemonsFor(targetIn(target, "even"))[0];
        CHECK((after == home || home == removed));
        moved += after != home;
    }
    CHECK(moved > 0);
}

TEST_CASE("a group has three different watchers even when its targets have the same home", "[membership]")
{
    VirtualLoop loop;
    const auto list = listOf(6);
    Membership membership(loop, list.instances[0]);
    membership.setPlatformList(list);
    GroupConfiguration group;
    group.database = DatabaseId("db");
    group.targets = { targetIn("a", "even"), targetIn("a", "even"), targetIn("a", "even") };
    const auto watchers = membership.watchersOf(group);
    CHECK(watchers.size() == 3);
    CHECK(std::set<InstanceId>(watchers.begin(), watchers.end()).size() == 3);
}
