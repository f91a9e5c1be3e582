#include "directory/PlatformPath.h"

#include <catch2/catch.hpp>
#include <set>

using namespace parsleypaddle;

TEST_CASE("the platform is called directly while it answers", "[directory]")
{
    PlatformPath path({ "platform", 1 }, 7);
    path.setPeers({ { "a", 1 }, { "b", 1 } });
    const auto way = path.choose(Instant(0));
    CHECK(way.isDirect);
    path.report(way, true, Instant(5));
    CHECK(path.choose(Instant(10)).isDirect);
}

// Pattern: the platform refuses some instances and serves the others.
TEST_CASE("a refused daemon calls through others, and tries directly now and then", "[directory]")
{
    PlatformPath path({ "platform", 1 }, 7);
    path.setPeers({ { "a", 1 }, { "b", 1 } });
    path.report(path.choose(Instant(0)), false, Instant(0));
    const auto way = path.choose(Instant(10));
    CHECK_FALSE(way.isDirect);
    path.report(way, true, Instant(15));
    CHECK(path.choose(Instant(20)).address.host == way.address.host);
    CHECK(path.choose(Instant(1100)).isDirect);
    CHECK_FALSE(path.choose(Instant(1101)).isDirect);
    path.report({ { "platform", 1 }, true }, true, Instant(1110));
    CHECK(path.choose(Instant(1120)).isDirect);
}

TEST_CASE("without others the direct way is all there is", "[directory]")
{
    PlatformPath path({ "platform", 1 }, 7);
    path.report(path.choose(Instant(0)), false, Instant(0));
    CHECK(path.choose(Instant(1)).isDirect);
}

TEST_CASE("a daemon that cannot help either is left for another", "[directory]")
{
    PlatformPath path({ "platform", 1 }, 7);
    path.setPeers({ { "a", 1 }, { "b", 1 }, { "c", 1 }, { "d", 1 } });
    path.report(path.choose(Instant(0)), false, Instant(0));
    std::set<std::string> asked;
    for (int n = 0; n < 40; ++n) {
        const auto way = path.choose(Instant(10));
        asked.insert(way.address.host);
        path.report(way, false, Instant(10));
    }
    CHECK(asked.size() == 4);
}
