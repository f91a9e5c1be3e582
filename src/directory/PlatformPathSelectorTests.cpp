#include "directory/PlatformPathSelector.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

using namespace parsleypaddle;

TEST_CASE("the platform is called directly while it answers", "[directory]")
{
    PlatformPathSelector selector({ "platform", 1 }, 7);
    selector.setPeers({ { "a", 1 }, { "b", 1 } });
    const auto path = selector.choose(Instant(0));
    CHECK(path.isDirect);
    selector.report(path, true, Instant(5));
    CHECK(selector.choose(Instant(10)).isDirect);
}

// The platform may reject the calls of some instances and serve the others.
TEST_CASE("a daemon rejected by the platform calls through peers and retries directly after a delay", "[directory]")
{
    PlatformPathSelector selector({ "platform", 1 }, 7);
    selector.setPeers({ { "a", 1 }, { "b", 1 } });
    selector.report(selector.choose(Instant(0)), false, Instant(0));
    const auto path = selector.choose(Instant(10));
    CHECK_FALSE(path.isDirect);
    selector.report(path, true, Instant(15));
    CHECK(selector.choose(Instant(20)).address.host == path.address.host);
    CHECK(selector.choose(Instant(1100)).isDirect);
    CHECK_FALSE(selector.choose(Instant(1101)).isDirect);
    selector.report({ { "platform", 1 }, true, false, Instant(1100) }, true, Instant(1110));
    CHECK(selector.choose(Instant(1120)).isDirect);
}

// Regression test: the platform reset all connections at once while this daemon could not reach its peers. Three watch
// requests failed together and were counted as three consecutive failures, so the direct path was retried too late
// (seen on the day scale-2 of chausse-cloud, seed 1043931286761).
TEST_CASE("calls that fail at the same time count as one failure", "[directory]")
{
    PlatformPathSelector selector({ "platform", 1 }, 7);
    selector.setPeers({ { "a", 1 }, { "b", 1 } });
    const std::vector<PlatformPathSelector::Path> paths { selector.choose(Instant(0)), selector.choose(Instant(1)), selector.choose(Instant(2)) };
    for (const auto& it : paths)
        selector.report(it, false, Instant(1000));
    CHECK_FALSE(selector.choose(Instant(1300)).isDirect);
    CHECK(selector.choose(Instant(2000)).isDirect);
}

// Guards against waiting for the whole retry delay when the peers do not answer and the platform is reachable again.
TEST_CASE("the direct path is retried earlier when a call through the peer fails too", "[directory]")
{
    PlatformPathSelector selector({ "platform", 1 }, 7);
    selector.setPeers({ { "a", 1 }, { "b", 1 } });
    for (int n = 0; n < 4; ++n) {
        const Instant now { n * 5000.0 };
        const auto direct = selector.choose(now);
        REQUIRE(direct.isDirect);
        selector.report(direct, false, now + Milliseconds(900));
    }
    const auto peer = selector.choose(Instant(16100));
    REQUIRE_FALSE(peer.isDirect);
    selector.report(peer, false, Instant(17000));
    CHECK(selector.choose(Instant(17300)).isDirect);
}

TEST_CASE("the first answer after a failure reports that the platform is reachable again, for direct calls and peers alike", "[directory]")
{
    PlatformPathSelector selector({ "platform", 1 }, 7);
    selector.setPeers({ { "a", 1 } });
    CHECK_FALSE(selector.report(selector.choose(Instant(0)), true, Instant(5)));
    CHECK_FALSE(selector.report(selector.choose(Instant(10)), false, Instant(20)));
    CHECK(selector.report(selector.choose(Instant(30)), true, Instant(40)));
    CHECK_FALSE(selector.report(selector.choose(Instant(50)), true, Instant(60)));
    CHECK(selector.report(selector.choose(Instant(1100)), true, Instant(1110)));
    CHECK_FALSE(selector.report(selector.choose(Instant(1120)), true, Instant(1130)));
}

TEST_CASE("after a failure each path is marked as unverified until a call on it is answered", "[directory]")
{
    PlatformPathSelector selector({ "platform", 1 }, 7);
    selector.setPeers({ { "a", 1 } });
    const auto first = selector.choose(Instant(0));
    CHECK(first.isVerified);
    selector.report(first, false, Instant(10));
    const auto peer = selector.choose(Instant(20));
    CHECK_FALSE(peer.isVerified);
    selector.report(peer, true, Instant(30));
    CHECK(selector.choose(Instant(40)).isVerified);
    const auto trial = selector.choose(Instant(1100));
    CHECK(trial.isDirect);
    CHECK_FALSE(trial.isVerified);
    selector.report(trial, true, Instant(1110));
    CHECK(selector.choose(Instant(1120)).isVerified);
}

TEST_CASE("without peers every call is direct", "[directory]")
{
    PlatformPathSelector selector({ "platform", 1 }, 7);
    selector.report(selector.choose(Instant(0)), false, Instant(0));
    CHECK(selector.choose(Instant(1)).isDirect);
}

TEST_CASE("after a failed call through a peer, another peer is chosen at random", "[directory]")
{
    PlatformPathSelector selector({ "platform", 1 }, 7);
    selector.setPeers({ { "a", 1 }, { "b", 1 }, { "c", 1 }, { "d", 1 } });
    selector.report(selector.choose(Instant(0)), false, Instant(0));
    std::set<std::string> asked;
    for (int n = 0; n < 40; ++n) {
        const auto path = selector.choose(Instant(10));
        asked.insert(path.address.host);
        selector.report(path, false, Instant(10));
    }
    CHECK(asked.size() == 4);
}

// A watch that was sent before the failure hangs, and a call that was sent still earlier is the first to be answered.
TEST_CASE("the time of the last failure is known when an earlier call is answered after it", "[directory]")
{
    PlatformPathSelector selector({ "platform", 1 }, 7);
    const auto early = selector.choose(Instant(0));
    const auto watch = selector.choose(Instant(500));
    selector.report(selector.choose(Instant(400)), false, Instant(1300));
    CHECK(selector.report(early, true, Instant(6000)));
    CHECK(selector.lastFailureAt() > watch.chosenAt);
}
