#include "directory/WatchTimes.h"
#include "distribution/DistributionFixture.h"
#include "distribution/SourceTimes.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

constexpr Milliseconds shortBound { 3000 };

/// The daemons of the source's failure domain, in a fleet of two, that hold no row.
std::vector<size_t> subscribersInDomainOf(const DistributionFixture& fixture, size_t source)
{
    std::vector<size_t> result;
    for (size_t it = source % 2; it < fixture.daemons.size(); it += 2) {
        if (!fixture.daemons[it]->role.isHolder())
            result.push_back(it);
    }
    return result;
}

/// Cuts all holders of the source's failure domain from the platform.
void cutHoldersOfDomain(DistributionFixture& fixture, size_t source)
{
    for (const size_t it : fixture.holders()) {
        if (it % 2 == source % 2)
            fixture.daemons[it]->rows.isCut = true;
    }
}

/// Writes configuration 2, and returns how long after it the last of the daemons has it, or `limit`.
Milliseconds timeOfDelivery(DistributionFixture& fixture, const std::vector<size_t>& daemons, Milliseconds limit)
{
    fixture.writeConfiguration(2);
    const Instant begin = fixture.loop.now();
    const auto isDelivered = [&] {
        return std::all_of(daemons.begin(), daemons.end(), [&](size_t it) { return fixture.daemons[it]->configuration == 2; });
    };
    while (!isDelivered() && fixture.loop.now() < begin + limit)
        fixture.run(10);
    return fixture.loop.now() - begin;
}

size_t countLost(const DistributionFixture& fixture)
{
    size_t n = 0;
    for (const auto& it : fixture.daemons)
        n += static_cast<size_t>(std::count_if(it->logLines.begin(), it->logLines.end(), [](const std::string& line) { return line.find("\"source_lost\"") != std::string::npos; }));
    return n;
}

}

// Guards against old configurations in force: subscribers stayed with a source without the platform for 3.5 s, also where 3 s are promised.
TEST_CASE("with a bound of 3 s, subscribers of a source that loses the platform receive a change within it", "[distribution]")
{
    const double delay = GENERATE(10'000, 10'300, 10'600, 10'900, 11'200, 11'500);
    const bool isAnotherSilent = GENERATE(false, true);
    CAPTURE(delay, isAnotherSilent);
    DistributionFixture fixture(40, 2, 1, shortBound);
    fixture.run(delay);
    const size_t source = fixture.holderWithSubscribers();
    const auto subscribers = fixture.subscribersOf(source);
    const auto holders = fixture.holders();
    const auto other = std::find_if(holders.begin(), holders.end(), [source](size_t it) { return it != source && it % 2 == source % 2; });
    REQUIRE(other != holders.end());
    if (isAnotherSilent)
        fixture.network.silentHosts.insert("daemon-" + std::to_string(*other));
    fixture.daemons[source]->rows.isCut = true;
    const Milliseconds time = timeOfDelivery(fixture, subscribers, Milliseconds(8000));
    CHECK(time.count() <= shortBound.count());
}

TEST_CASE("with a bound of 3 s, subscribers of a failure domain whose sources all lose the platform receive a change within it", "[distribution]")
{
    const double delay = GENERATE(10'000, 10'300, 10'600, 10'900, 11'200, 11'500);
    const auto daemons = static_cast<size_t>(GENERATE(12, 16, 40, 80));
    CAPTURE(delay, daemons);
    DistributionFixture fixture(daemons, 2, 1, shortBound);
    fixture.run(delay);
    const size_t source = fixture.holderWithSubscribers();
    const auto subscribers = subscribersInDomainOf(fixture, source);
    cutHoldersOfDomain(fixture, source);
    const Milliseconds time = timeOfDelivery(fixture, subscribers, Milliseconds(8000));
    CHECK(time.count() <= shortBound.count());
}

TEST_CASE("with other bounds too, subscribers of a failure domain whose sources all lose the platform receive a change in time", "[distribution]")
{
    const Milliseconds bound(GENERATE(3500, 4000, 4600, 4900, 6000));
    const double delay = GENERATE(10'000, 10'400, 10'800);
    CAPTURE(bound.count(), delay);
    DistributionFixture fixture(40, 2, 1, bound);
    fixture.run(delay);
    const size_t source = fixture.holderWithSubscribers();
    const auto subscribers = subscribersInDomainOf(fixture, source);
    cutHoldersOfDomain(fixture, source);
    const Milliseconds time = timeOfDelivery(fixture, subscribers, Milliseconds(8000));
    CHECK(time.count() <= bound.count());
}

// With 21 holders, leases are renewed every 2 s. A call to a slow platform takes up to 240 ms.
TEST_CASE("subscribers stay with sources that the platform answers, whatever the bound", "[distribution]")
{
    const Milliseconds bound(GENERATE(1500, 2200, 3000, 4000, 5000, 9000));
    const Milliseconds callTime(GENERATE(4, 240));
    CAPTURE(bound.count(), callTime.count());
    DistributionFixture fixture(42, 7, 1, bound);
    fixture.run(20'000);
    REQUIRE(fixture.holders().size() == 21);
    for (const auto& it : fixture.daemons)
        it->rows.callTime = callTime;
    const size_t before = countLost(fixture);
    fixture.run(60'000);
    CHECK(countLost(fixture) == before);
}

// The longest renewal interval of a lease is 2 s.
TEST_CASE("the limit for a source's age is at least 0.5 s longer than a source without faults goes without an answer", "[distribution]")
{
    for (double it = 0; it <= 4700; it += 100) {
        CAPTURE(it);
        CHECK(maxSourceAge(Milliseconds(it)) >= std::min(watchHoldTime(Milliseconds(it)), Milliseconds(2000)) + Milliseconds(500));
    }
    CHECK(maxSourceAge(Milliseconds(3000)) == Milliseconds(1800));
    CHECK(staleRecheckDelay(Milliseconds(3000)) == Milliseconds(500));
    for (const double it : { 5000, 6000, 9000 }) {
        CHECK(maxSourceAge(Milliseconds(it)) == Milliseconds(3500));
        CHECK(staleRecheckDelay(Milliseconds(it)) == Milliseconds(1200));
    }
}
