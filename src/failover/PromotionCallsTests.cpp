#include "failover/PromotionCalls.h"
#include "platform_ports/PlatformPorts.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

constexpr Instant start { 1000 };

}

TEST_CASE("a call that is out may take effect until some time after it is withdrawn", "[failover]")
{
    PromotionCalls calls;
    CHECK_FALSE(calls.unansweredUntil(start));
    calls.begin();
    CHECK(calls.isCallOut());
    CHECK(calls.unansweredUntil(start) == start + PromotionPort::maxUnansweredTime);
}

TEST_CASE("an answer to a repeated call settles none of the calls before it", "[failover]")
{
    PromotionCalls calls;
    calls.end(calls.begin(), PromotionCalls::Outcome::Unanswered, start);
    CHECK(calls.isLastUnanswered());
    calls.end(calls.begin(), GENERATE(PromotionCalls::Outcome::Accepted, PromotionCalls::Outcome::Refused), start + Milliseconds(20));
    CHECK_FALSE(calls.isLastUnanswered());
    CHECK(calls.unansweredUntil(start + Milliseconds(20)) == start + PromotionPort::maxCallDelay + PromotionPort::maxPromotionTime);
}

TEST_CASE("the answer to a call under an earlier record does not count", "[failover]")
{
    PromotionCalls calls;
    const uint64_t earlier = calls.begin();
    calls.reset();
    CHECK(calls.isCallOut());
    calls.end(earlier, PromotionCalls::Outcome::Unanswered, start);
    CHECK_FALSE(calls.isCallOut());
    CHECK_FALSE(calls.isLastUnanswered());
    CHECK_FALSE(calls.unansweredUntil(start));
}

TEST_CASE("a call that was not executed neither may take effect nor settles the calls before it", "[failover]")
{
    PromotionCalls calls;
    const bool hasUnanswered = GENERATE(false, true);
    if (hasUnanswered)
        calls.end(calls.begin(), PromotionCalls::Outcome::Unanswered, start);
    const auto until = calls.unansweredUntil(start);
    CHECK(until.has_value() == hasUnanswered);
    calls.end(calls.begin(), PromotionCalls::Outcome::Unexecuted, start + Milliseconds(20));
    CHECK(calls.isLastUnexecuted());
    CHECK(calls.isLastUnanswered() == hasUnanswered);
    CHECK(calls.unansweredUntil(start + Milliseconds(20)) == until);
    calls.begin();
    CHECK(calls.isLastUnanswered());
    CHECK(calls.unansweredUntil(start + Milliseconds(40)) == start + Milliseconds(40) + PromotionPort::maxUnansweredTime);
}
