#include "measure/Arrivals.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

bool isSameBesidesStraggling(const Arrival& a, const Arrival& b)
{
    return a.at == b.at && a.traffic == b.traffic && a.organisation == b.organisation && a.daemon == b.daemon && a.isWrite == b.isWrite
        && a.isTransaction == b.isTransaction && a.isFollowUp == b.isFollowUp;
}

}

TEST_CASE("arrivals follow their seed, and stragglers change nothing but run times", "[measure]")
{
    const auto name = GENERATE("teranga", "vizitka");
    const auto deployment = Deployment::find(name);
    REQUIRE(deployment);
    const std::vector<Phase> phases { { Milliseconds(2000), 100, 300 }, { Milliseconds(1000), 100, 2000 } };
    const auto drawn = drawArrivals(*deployment, phases, { 0.02 }, 7);
    const auto again = drawArrivals(*deployment, phases, { 0.02 }, 7);
    const auto calm = drawArrivals(*deployment, phases, {}, 7);
    const auto other = drawArrivals(*deployment, phases, { 0.02 }, 8);
    CHECK(std::equal(drawn.begin(), drawn.end(), again.begin(), again.end(), isSameBesidesStraggling));
    CHECK(std::equal(drawn.begin(), drawn.end(), calm.begin(), calm.end(), isSameBesidesStraggling));
    CHECK_FALSE(std::equal(drawn.begin(), drawn.end(), other.begin(), other.end(), isSameBesidesStraggling));
    CHECK(drawn.size() > 2600);
    CHECK(drawn.size() < 3200);
    const auto stragglers = std::count_if(drawn.begin(), drawn.end(), [](const Arrival& it) { return it.isStraggler; });
    CHECK(stragglers > 20);
    CHECK(stragglers < 110);
    CHECK_FALSE(Deployment::find("elsewhere"));
}
