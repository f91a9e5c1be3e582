#include "base/VirtualLoop.h"
#include "telemetry/DecisionLog.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace parsleypaddle;

// Guards against an incident that cannot be explained: the lines on a change of primary were lost among those on refused statements.
TEST_CASE("unlimited lines are written when the rate limit drops others", "[telemetry]")
{
    VirtualLoop loop;
    std::vector<std::string> lines;
    DecisionLog log(loop, "one", [&lines](const std::string& it) { lines.push_back(it); });
    for (int n = 0; n < 1000; ++n)
        log.write("statement_refused", {});
    REQUIRE(log.dropped() > 0);
    log.writeUnlimited("promotion_ordered", { { "call", "1" } });
    CHECK(lines.back().find("\"promotion_ordered\"") != std::string::npos);
    CHECK(lines.back().find("dropped_lines") != std::string::npos);
    const size_t written = lines.size();
    log.write("statement_refused", {});
    CHECK(lines.size() == written);
}
