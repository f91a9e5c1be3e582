#include "failover/FailoverFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>

using namespace parsleypaddle;

namespace {

/// The lines that list the writes which a primary acknowledged to the daemon.
std::vector<std::string> acknowledgedLines(const FailoverDaemon& daemon)
{
    std::vector<std::string> found;
    std::copy_if(daemon.logLines.begin(), daemon.logLines.end(), std::back_inserter(found), [](const std::string& it) { return it.find("\"writes_acknowledged\"") != std::string::npos; });
    return found;
}

}

TEST_CASE("every daemon logs the last writes that a replaced primary acknowledged to it", "[failover][writes]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(3000);
    REQUIRE(fixture.countDaemonsUsing("one") == 0);
    for (const auto& it : fixture.daemons) {
        const auto lines = acknowledgedLines(*it);
        REQUIRE(lines.size() == 1);
        CAPTURE(lines.front());
        CHECK(lines.front().find("\"primary\":\"one\"") != std::string::npos);
        CHECK(lines.front().find("\"term\":\"1\"") != std::string::npos);
        CHECK(lines.front().find(" row+") != std::string::npos);
        CHECK(lines.front().find(" row+-") == std::string::npos);
    }
}

// Such a daemon may use the primary until its lease ends, and the change waits for that.
TEST_CASE("a daemon that hears of a change long after its lease has ended logs its last writes", "[failover][writes]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    FailoverDaemon& late = *fixture.daemons[2];
    late.rows.isCut = true;
    fixture.run(500);
    REQUIRE(fixture.write(2) == RelayError::None);
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(15'000);
    REQUIRE_FALSE(late.lease.isValid());
    REQUIRE(fixture.countDaemonsUsing("one") == 1);
    CHECK(acknowledgedLines(late).empty());
    late.rows.isCut = false;
    fixture.run(5000);
    REQUIRE(fixture.countDaemonsUsing("one") == 0);
    CHECK(acknowledgedLines(late).size() == 1);
}
