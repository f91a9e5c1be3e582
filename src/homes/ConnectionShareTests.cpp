#include "homes/ConnectionShare.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

TEST_CASE("the shares of all ranks plus the reserved control connections do not exceed a connection limit of at least 10", "[homes]")
{
    GroupConfiguration group;
    group.connections = GENERATE(10U, 12U, 35U, 40U, 100U, 500U);
    group.slots = GENERATE(1U, 3U, 5U, 64U);
    uint32_t sum = 6;
    for (uint32_t rank = 0; rank < maxHomesPerTarget; ++rank) {
        const TargetShare share = shareForRank(group, rank);
        CHECK(share.connections >= 1);
        CHECK(share.slots >= 1);
        CHECK(share.slots <= share.connections);
        sum += share.connections;
    }
    CHECK(sum <= group.connections);
    CHECK(shareForRank(group, maxHomesPerTarget).connections == 0);
}
