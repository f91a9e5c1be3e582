#include "distribution/TransferBudget.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

/// Stand for subscribers, of which only the address matters.
const int first = 0;
const int second = 0;

}

// Dozens of subscribers start at once and ask for tables of 50 KB.
TEST_CASE("a source sends large tables one after the other", "[distribution]")
{
    TransferBudget budget;
    const Instant now(1000);
    CHECK(budget.tryStart({ &first, 1 }, 50'000, now));
    CHECK_FALSE(budget.tryStart({ &second, 1 }, 50'000, now));
    CHECK(budget.finish({ &first, 1 }));
    CHECK_FALSE(budget.finish({ &first, 1 }));
    CHECK(budget.tryStart({ &second, 1 }, 50'000, now));
}

TEST_CASE("small tables are sent to many subscribers at once, and short replies always", "[distribution]")
{
    TransferBudget budget;
    const Instant now(1000);
    for (uint64_t it = 1; it <= 13; ++it)
        CHECK(budget.tryStart({ &first, it }, 5000, now));
    CHECK_FALSE(budget.tryStart({ &second, 1 }, 5000, now));
    CHECK(budget.tryStart({ &second, 2 }, 200, now));
}

TEST_CASE("a table larger than the limit is sent when nothing else is on the way", "[distribution]")
{
    TransferBudget budget;
    CHECK(budget.tryStart({ &first, 1 }, 1'000'000, Instant(1000)));
    CHECK_FALSE(budget.tryStart({ &second, 1 }, 5000, Instant(1000)));
}

TEST_CASE("a subscriber that is lost or confirms nothing does not keep its part of the limit", "[distribution]")
{
    TransferBudget budget;
    const Instant now(1000);
    CHECK(budget.tryStart({ &first, 1 }, 30'000, now));
    CHECK(budget.tryStart({ &first, 2 }, 30'000, now));
    CHECK(budget.finishAll(&first));
    CHECK(budget.isEmpty());
    CHECK(budget.tryStart({ &second, 1 }, 60'000, now));
    CHECK_FALSE(budget.expire(now + Milliseconds(1000)));
    CHECK(budget.expire(now + Milliseconds(5000)));
    CHECK(budget.tryStart({ &first, 3 }, 60'000, now));
}
