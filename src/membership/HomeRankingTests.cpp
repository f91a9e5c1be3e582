#include "membership/Membership.h"

#include "base/VirtualLoop.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <random>
#include <set>

using namespace parsleypaddle;

namespace {

constexpr unsigned groupCount = 600;

GroupId groupOf(unsigned n)
{
    return GroupId("group-" + std::to_string(n));
}

/// A fleet whose instances have 0.12 to 0.5 of a core and links of 10 to 200 Mbit/s, as in the deployments on the platform, and are
/// distributed over the failure domains at random.
PlatformList mixedFleet(unsigned daemons, unsigned domains, unsigned seed)
{
    std::mt19937 random(seed);
    const std::vector<double> cores { 0.12, 0.25, 0.5 };
    const std::vector<double> links { 10, 50, 200 };
    PlatformList list;
    for (unsigned n = 0; n < daemons; ++n) {
        InstanceEntry entry;
        entry.instance = InstanceId("instance-" + std::to_string(n));
        entry.failureDomain = FailureDomainId("domain-" + std::to_string(random() % domains));
        entry.cores = cores[random() % cores.size()];
        entry.linkMbps = links[random() % links.size()];
        list.instances.push_back(entry);
    }
    return list;
}

PlatformList withoutCapacities(PlatformList list)
{
    for (auto& it : list.instances)
        it.cores = it.linkMbps = 0;
    return list;
}

struct HomeFleet {
    VirtualLoop loop;
    Membership membership;

    explicit HomeFleet(const PlatformList& list)
        : membership(loop, list.instances[0])
    {
        membership.setPlatformList(list);
    }

    std::vector<InstanceId> homesOf(unsigned group) const { return membership.rankedDaemonsFor(groupOf(group)); }

    /// Homes in each failure domain.
    std::map<FailureDomainId, unsigned> countByDomain(const std::vector<InstanceId>& homes) const
    {
        std::map<FailureDomainId, unsigned> counts;
        for (const auto& it : membership.instances())
            counts[it.failureDomain];
        for (const auto& it : homes)
            ++counts[membership.find(it)->failureDomain];
        return counts;
    }
};

/// The smallest and the largest number of a group's homes in one failure domain, over all groups.
struct DomainRange {
    unsigned least { 99 };
    unsigned most { 0 };
    unsigned groupsWithEmptyDomain { 0 };

    void add(const std::map<FailureDomainId, unsigned>& counts)
    {
        bool hasEmpty = false;
        for (const auto& [domain, n] : counts) {
            least = std::min(least, n);
            most = std::max(most, n);
            hasEmpty = hasEmpty || n == 0;
        }
        groupsWithEmptyDomain += hasEmpty ? 1 : 0;
    }
};

std::set<InstanceId> asSet(const std::vector<InstanceId>& homes)
{
    return { homes.begin(), homes.end() };
}

size_t countMissing(const std::set<InstanceId>& from, const std::set<InstanceId>& other)
{
    size_t missing = 0;
    for (const auto& it : from)
        missing += 1 - other.count(it);
    return missing;
}

}

// With the homes of a plain hash, a failure domain may have one home or none, whose few connections all callers of the domain share.
TEST_CASE("each failure domain has its part of a group's homes in fleets of 29, 77, 295 and 460 daemons", "[membership]")
{
    constexpr unsigned seed = 20;
    std::printf("homes of a group in one failure domain, %u groups, seed %u\ndaemons domains | hash only: least most groups-without | in turn: least most groups-without\n", groupCount, seed);
    for (const auto& [daemons, domains] : std::vector<std::pair<unsigned, unsigned>> { { 29, 3 }, { 77, 3 }, { 295, 6 }, { 460, 6 } }) {
        const auto list = mixedFleet(daemons, domains, seed);
        const HomeFleet fleet(list);
        const HomeFleet equal(withoutCapacities(list));
        DomainRange hashOnly;
        DomainRange inTurn;
        for (unsigned n = 0; n < groupCount; ++n) {
            // For a target in a domain without daemons the ranking is that of the hash.
            hashOnly.add(equal.countByDomain(equal.membership.rankedDaemonsFor({ TargetId(groupOf(n).value()), {}, FailureDomainId("elsewhere") })));
            const auto homes = fleet.homesOf(n);
            REQUIRE(homes.size() == Membership::rankingLength);
            REQUIRE(asSet(homes).size() == homes.size());
            const auto counts = fleet.countByDomain(homes);
            inTurn.add(counts);
            for (const auto& [domain, count] : counts)
                CHECK((count == Membership::rankingLength / domains || count == Membership::rankingLength / domains + 1));
        }
        std::printf("%7u %7u | %16u %4u %14u | %14u %4u %14u\n", daemons, domains, hashOnly.least, hashOnly.most, hashOnly.groupsWithEmptyDomain, inTurn.least, inTurn.most, inTurn.groupsWithEmptyDomain);
        CHECK(inTurn.groupsWithEmptyDomain == 0);
    }
}

// Otherwise one failure domain would have the additional homes of all groups, and receive what is sent to the first home.
TEST_CASE("the domain that comes first differs by group", "[membership]")
{
    const HomeFleet fleet(mixedFleet(77, 3, 21));
    std::map<FailureDomainId, unsigned> groupsByFirst;
    for (unsigned n = 0; n < groupCount; ++n)
        ++groupsByFirst[fleet.membership.find(fleet.homesOf(n)[0])->failureDomain];
    REQUIRE(groupsByFirst.size() == 3);
    for (const auto& [domain, groups] : groupsByFirst)
        CHECK(groups == Approx(groupCount / 3.0).epsilon(0.2));
}

// Instances with 0.12 of a core were homes as often as those with 0.5, and were throttled by the statements of others.
TEST_CASE("within a failure domain an instance is a home in proportion to what it can carry", "[membership]")
{
    constexpr unsigned seed = 22;
    std::printf("homes per instance, mean over instances, %u groups, seed %u\ndaemons | 0.12 core | 0.25 core | 0.5 core | 0.5 core at 10 Mbit/s\n", groupCount, seed);
    for (const unsigned daemons : { 29U, 77U, 295U, 460U }) {
        const HomeFleet fleet(mixedFleet(daemons, daemons < 100 ? 3 : 6, seed));
        std::map<InstanceId, unsigned> homes;
        for (unsigned n = 0; n < groupCount; ++n) {
            for (const auto& it : fleet.homesOf(n))
                ++homes[it];
        }
        std::map<std::pair<double, bool>, std::pair<double, double>> sums;
        for (const auto& it : fleet.membership.instances()) {
            auto& [homeSum, instances] = sums[{ it.cores, it.linkMbps <= 10 }];
            homeSum += homes[it.instance];
            ++instances;
        }
        const auto mean = [&sums](double cores, bool isSlowLink) { return sums[{ cores, isSlowLink }].first / sums[{ cores, isSlowLink }].second; };
        std::printf("%7u | %9.1f | %9.1f | %8.1f | %8.1f\n", daemons, mean(0.12, false), mean(0.25, false), mean(0.5, false), mean(0.5, true));
        CHECK(mean(0.12, false) < mean(0.25, false));
        CHECK(mean(0.25, false) < mean(0.5, false));
        CHECK(mean(0.5, true) < 0.6 * mean(0.5, false));
        if (daemons > 100)
            CHECK(mean(0.5, false) / mean(0.12, false) == Approx(0.5 / 0.12).epsilon(0.25));
    }
}

// A group that moves without need opens its connections anew, and has too many of them while daemons disagree.
TEST_CASE("a daemon that joins or leaves changes one home at most, and only of the groups that it serves", "[membership]")
{
    for (const unsigned daemons : { 29U, 77U, 295U, 460U }) {
        const auto list = mixedFleet(daemons, daemons < 100 ? 3 : 6, 23);
        const HomeFleet all(list);
        for (const unsigned removed : { 1U, daemons / 2, daemons - 1 }) {
            auto rest = list;
            const InstanceId id = rest.instances[removed].instance;
            rest.instances.erase(rest.instances.begin() + removed);
            const HomeFleet without(rest);
            unsigned moved = 0;
            for (unsigned n = 0; n < groupCount; ++n) {
                const auto before = asSet(all.homesOf(n));
                const auto after = asSet(without.homesOf(n));
                REQUIRE(countMissing(before, after) == before.count(id));
                REQUIRE(countMissing(after, before) == before.count(id));
                moved += static_cast<unsigned>(before.count(id));
            }
            CAPTURE(daemons, id.value(), moved);
            CHECK(moved > 0);
            CHECK(moved < groupCount * Membership::rankingLength * 8 / daemons);
        }
    }
}

// While a home is silent, its domain would otherwise lose its share of homes to the others.
TEST_CASE("a silent or leaving home is replaced by a daemon of its own failure domain", "[membership]")
{
    HomeFleet fleet(mixedFleet(77, 3, 24));
    const auto before = fleet.homesOf(0);
    const auto counts = fleet.countByDomain(before);
    const bool isLeaving = GENERATE(false, true);
    if (isLeaving)
        fleet.membership.setLeaving(before[2]);
    else
        fleet.membership.reportUnresponsive(before[2]);
    const auto after = fleet.homesOf(0);
    CHECK(countMissing(asSet(before), asSet(after)) == 1);
    CHECK(asSet(after).count(before[2]) == 0);
    CHECK(fleet.countByDomain(after) == counts);
    fleet.loop.advance(Milliseconds(3001));
    CHECK((fleet.homesOf(0) == before) != isLeaving);
}

TEST_CASE("when a failure domain has too few daemons, the other domains have its homes", "[membership]")
{
    auto list = mixedFleet(30, 3, 25);
    for (unsigned n = 0; n < 30; ++n)
        list.instances[n].failureDomain = FailureDomainId(n == 0 ? "small" : n % 2 == 0 ? "even"
                                                                                        : "odd");
    const HomeFleet fleet(list);
    for (unsigned n = 0; n < groupCount; ++n) {
        auto counts = fleet.countByDomain(fleet.homesOf(n));
        REQUIRE(counts[FailureDomainId("small")] == 1);
        REQUIRE(counts[FailureDomainId("even")] >= 3);
        REQUIRE(counts[FailureDomainId("odd")] >= 3);
    }
}

// Silent daemons of a small domain must not be homes while responsive ones of other domains are not.
TEST_CASE("responsive daemons of other failure domains precede the silent ones of a domain that is cut off", "[membership]")
{
    HomeFleet fleet(mixedFleet(77, 3, 26));
    for (const auto& it : fleet.membership.instances()) {
        if (it.failureDomain == FailureDomainId("domain-1"))
            fleet.membership.reportUnresponsive(it.instance);
    }
    for (unsigned n = 0; n < groupCount; ++n) {
        auto counts = fleet.countByDomain(fleet.homesOf(n));
        REQUIRE(counts[FailureDomainId("domain-0")] == 4);
        REQUIRE(counts[FailureDomainId("domain-2")] == 4);
    }
}

// Daemons of an earlier version announce their cores only, and a settings file may tell nothing.
TEST_CASE("an instance that announces no bandwidth is weighted by its cores, one that announces nothing like a typical one", "[membership]")
{
    InstanceEntry entry;
    const double unknown = capacityOf(entry);
    entry.cores = 0.5;
    const double earlier = capacityOf(entry);
    entry.linkMbps = 200;
    CHECK(capacityOf(entry) == earlier);
    entry.linkMbps = 10;
    CHECK(capacityOf(entry) == Approx(0.25 * earlier));
    entry.cores = 0.12;
    CHECK(capacityOf(entry) == Approx(0.24 * earlier));
    CHECK(unknown == Approx(0.5 * earlier));
    entry.cores = -1;
    entry.linkMbps = 1e300;
    CHECK(capacityOf(entry) == unknown);
    entry.cores = 1e300;
    CHECK(capacityOf(entry) <= 100'000);
}

// The gateway's fleets and earlier platform fleets announce equal capacities or none; their homes must not move.
TEST_CASE("among equal instances the ranking for a single target is that of the hash", "[membership]")
{
    auto list = withoutCapacities(mixedFleet(77, 3, 27));
    const HomeFleet unknown(list);
    for (auto& it : list.instances)
        it.cores = 0.3;
    const HomeFleet equal(list);
    // Eight daemons are ranked by the hash alone; the order of any eight is the same in a large fleet.
    for (unsigned n = 0; n < groupCount; ++n) {
        const TargetConfiguration target { TargetId(groupOf(n).value()), {}, FailureDomainId("domain-1") };
        const auto ranking = unknown.membership.rankedDaemonsFor(target);
        REQUIRE(equal.membership.rankedDaemonsFor(target) == ranking);
        PlatformList few;
        for (auto it = ranking.rbegin(); it != ranking.rend(); ++it)
            few.instances.push_back(*unknown.membership.find(*it));
        REQUIRE(HomeFleet(few).membership.rankedDaemonsFor(target) == ranking);
    }
}

// Every daemon of a small fleet is a home, and its order must not change when instances begin to announce their capacities.
TEST_CASE("in a fleet of eight daemons neither capacities nor failure domains change the order", "[membership]")
{
    const auto list = mixedFleet(8, 3, 28);
    const HomeFleet mixed(list);
    const HomeFleet equal(withoutCapacities(list));
    for (unsigned n = 0; n < groupCount; ++n) {
        REQUIRE(mixed.homesOf(n) == equal.homesOf(n));
        REQUIRE(mixed.homesOf(n) == mixed.membership.rankedDaemonsFor({ TargetId(groupOf(n).value()), {}, FailureDomainId("elsewhere") }));
    }
}

// The list of instances is read every few seconds; a daemon that restarts on a larger instance must count as such.
TEST_CASE("a changed capacity moves groups only to or from that instance", "[membership]")
{
    auto list = mixedFleet(77, 3, 29);
    HomeFleet fleet(list);
    std::vector<std::set<InstanceId>> before;
    for (unsigned n = 0; n < groupCount; ++n)
        before.push_back(asSet(fleet.homesOf(n)));
    const uint64_t generation = fleet.membership.generation();
    const InstanceId changed = list.instances[5].instance;
    list.instances[5].cores = list.instances[5].cores * 3;
    list.instances[5].linkMbps = 200;
    fleet.membership.setPlatformList(list);
    CHECK(fleet.membership.generation() > generation);
    unsigned moved = 0;
    for (unsigned n = 0; n < groupCount; ++n) {
        const auto after = asSet(fleet.homesOf(n));
        const bool isNew = after.count(changed) > before[n].count(changed);
        REQUIRE(countMissing(after, before[n]) == (isNew ? 1 : 0));
        moved += isNew ? 1 : 0;
    }
    CHECK(moved > 0);
}
