#include "daemon/DaemonSettings.h"

#include "base/ResultCode.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

const char* const goodSettings = R"(instance: i1
failure-domain: plateau
listen: { host: 127.0.0.1, port: 7001 }
control: { host: 127.0.0.1, port: 7101 }
platform: { host: 127.0.0.1, port: 7900 }
seed-peers: [{ host: 10.0.1.5, port: 7101 }]
drain-grace: 2s
)";

}

TEST_CASE("good settings are read with their defaults", "[daemon]")
{
    const auto settings = parseDaemonSettings(goodSettings, "i1.yaml");
    REQUIRE(settings.ok());
    CHECK(settings->instance == InstanceId("i1"));
    CHECK(settings->control.port == 7101);
    REQUIRE(settings->seedPeers.size() == 1);
    CHECK(settings->seedPeers[0].host == "10.0.1.5");
    CHECK(settings->drainGrace == Milliseconds(2000));
    CHECK(settings->platformTimeout == Milliseconds(1000));
}

TEST_CASE("every fault of the settings is told with file, line and key", "[daemon]")
{
    const auto settings = parseDaemonSettings("instance: i1\nlisten: { host: localhost, port: 70000 }\nfrob: 1\ncontrol: { host: 127.0.0.1, port: 1 }\nplatform: { host: 127.0.0.1, port: 1 }\ndrain-grace: 5\n", "i1.yaml");
    REQUIRE_FALSE(settings.ok());
    CHECK(resultCodeOf(settings.status()) == ResultCode::ConfigurationInvalid);
    const std::string message(settings.status().message());
    INFO(message);
    for (const char* it : { "failure-domain", "i1.yaml:2: listen.host", "i1.yaml:2: listen.port", "i1.yaml:3: frob", "i1.yaml:6: drain-grace" })
        CHECK(message.find(it) != std::string::npos);
}

TEST_CASE("settings that lack an address are told so", "[daemon]")
{
    const auto settings = parseDaemonSettings("instance: i1\nfailure-domain: plateau\nseed-peers: [{ host: nowhere, port: 1 }]\n", "i1.yaml");
    REQUIRE_FALSE(settings.ok());
    const std::string message(settings.status().message());
    INFO(message);
    for (const char* it : { "i1.yaml:1: listen: missing", "i1.yaml:1: control: missing", "i1.yaml:1: platform: missing", "i1.yaml:3: seed-peers[0].host" })
        CHECK(message.find(it) != std::string::npos);
}

TEST_CASE("keys are read by line and a wrong line is told without its secret", "[daemon]")
{
    const auto keys = parseDaemonKeys("# fleet\npeer 0123456789abcdef\ntoken k1 0123456789abcdef\n", "keys");
    REQUIRE(keys.ok());
    CHECK(keys->peer.size() == 1);
    CHECK(keys->token[0].id == "k1");

    const auto wrong = parseDaemonKeys("peer 0123456789abcdef\ntoken 0123456789abcdef\n", "keys");
    REQUIRE_FALSE(wrong.ok());
    CHECK(std::string(wrong.status().message()).find("keys:2") == 0);
    CHECK(std::string(wrong.status().message()).find("0123456789abcdef") == std::string::npos);
    CHECK_FALSE(parseDaemonKeys("peer 0123456789abcdef\n", "keys").ok());
}
