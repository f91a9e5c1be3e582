#include "directory/PlatformPath.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

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
    path.report({ { "platform", 1 }, true, false, Instant(1100) }, true, Instant(1110));
    CHECK(path.choose(Instant(1120)).isDirect);
}

// Pattern: the platform resets all connections at one moment while this daemon is cut from the others. Seen as CONFIG on
// scale-2 of chausse-cloud, seed 1043931286761: three watches broke at once and counted as three failures in a row.
TEST_CASE("calls that break at one moment count as one failure", "[directory]")
{
    PlatformPath path({ "platform", 1 }, 7);
    path.setPeers({ { "a", 1 }, { "b", 1 } });
    const std::vector<PlatformPath::Way> ways { path.choose(Instant(0)), path.choose(Instant(1)), path.choose(Instant(2)) };
    for (const auto& it : ways)
        path.report(it, false, Instant(1000));
    CHECK_FALSE(path.choose(Instant(1300)).isDirect);
    CHECK(path.choose(Instant(2000)).isDirect);
}

// Pattern: the same; peers are silent, and the platform has long been back.
TEST_CASE("the direct way is tried soon when the peer does not answer either", "[directory]")
{
    PlatformPath path({ "platform", 1 }, 7);
    path.setPeers({ { "a", 1 }, { "b", 1 } });
    for (int n = 0; n < 4; ++n) {
        const Instant now { n * 5000.0 };
        const auto direct = path.choose(now);
        REQUIRE(direct.isDirect);
        path.report(direct, false, now + Milliseconds(900));
    }
    const auto peer = path.choose(Instant(16100));
    REQUIRE_FALSE(peer.isDirect);
    path.report(peer, false, Instant(17000));
    CHECK(path.choose(Instant(17300)).isDirect);
}

TEST_CASE("the first answer after a loss tells that the platform is back, by whichever way", "[directory]")
{
    PlatformPath path({ "platform", 1 }, 7);
    path.setPeers({ { "a", 1 } });
    CHECK_FALSE(path.report(path.choose(Instant(0)), true, Instant(5)));
    CHECK_FALSE(path.report(path.choose(Instant(10)), false, Instant(20)));
    CHECK(path.report(path.choose(Instant(30)), true, Instant(40)));
    CHECK_FALSE(path.report(path.choose(Instant(50)), true, Instant(60)));
    CHECK(path.report(path.choose(Instant(1100)), true, Instant(1110)));
    CHECK_FALSE(path.report(path.choose(Instant(1120)), true, Instant(1130)));
}

TEST_CASE("a way is proven by its last call, so that nothing waits long on one that may be silent", "[directory]")
{
    PlatformPath path({ "platform", 1 }, 7);
    path.setPeers({ { "a", 1 } });
    const auto first = path.choose(Instant(0));
    CHECK(first.isProven);
    path.report(first, false, Instant(10));
    const auto peer = path.choose(Instant(20));
    CHECK_FALSE(peer.isProven);
    path.report(peer, true, Instant(30));
    CHECK(path.choose(Instant(40)).isProven);
    const auto trial = path.choose(Instant(1100));
    CHECK(trial.isDirect);
    CHECK_FALSE(trial.isProven);
    path.report(trial, true, Instant(1110));
    CHECK(path.choose(Instant(1120)).isProven);
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
