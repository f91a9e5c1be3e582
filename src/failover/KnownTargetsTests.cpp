#include "failover/KnownTargets.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

TEST_CASE("known targets are decoded as they were encoded", "[failover]")
{
    const KnownTargets targets { { TargetId("one"), { { "10.0.0.1", 8167 }, false, Instant(1796659945943), true, std::nullopt, FailureDomainId("north") } }, { TargetId("two"), { { "10.0.0.2", 8168 }, true, std::nullopt, false, Instant(1796659945944), {} } } };
    const auto decoded = decodeKnownTargets(encodeKnownTargets(targets));
    REQUIRE(decoded.ok());
    CHECK(*decoded == targets);
}

TEST_CASE("rows of known targets that lack something are rejected", "[failover]")
{
    const std::string row = GENERATE(as<std::string> {}, "", "[]", "{}", R"({"targets":7})", R"({"targets":[7]})", R"({"targets":[{"id":"one","host":"10.0.0.1"}]})",
        R"({"targets":[{"id":"one","host":"10.0.0.1","port":70000}]})", R"({"targets":[{"id":"one","host":"10.0.0.1","port":7,"leaving":"no"}]})",
        R"({"targets":[{"id":"one","host":"10.0.0.1","port":7,"started_at":"now"}]})", R"({"targets":[{"id":"one","host":"10.0.0.1","port":7,"failure_domain":7}]})",
        R"({"targets":[{"id":"one","host":"10.0.0.1","port":7,"leaving_since":"now"}]})", R"({"targets":[{"id":"one","host":"10.0.0.1","port":7,"restarted":"yes"}]})");
    CAPTURE(row);
    CHECK_FALSE(decodeKnownTargets(row).ok());
}
