#include "failover/LogEvidence.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

LogMark mark(uint64_t term, uint64_t position)
{
    return { Term(term), LogPosition(position) };
}

KnownLog log(const std::string& target, std::optional<LogMark> received, bool hasRestarted = false)
{
    return { TargetId(target), received, hasRestarted };
}

KnownLogs logsOf(uint32_t synchronousReplicas, std::vector<KnownLog> others, std::optional<LogMark> oldPrimary = std::nullopt)
{
    return { synchronousReplicas, mark(1, 100), oldPrimary, std::move(others) };
}

}

TEST_CASE("the logs of all replicas show which of them has every acknowledged commit", "[failover]")
{
    const auto evidence = LogEvidence::evaluate(logsOf(1, { log("two", mark(1, 130)), log("three", mark(1, 110)) }));
    REQUIRE(evidence.isSufficient());
    CHECK(evidence.covers(mark(1, 130)));
    CHECK_FALSE(evidence.covers(mark(1, 129)));
    CHECK(evidence.missing().empty());
}

// Guards against the promotion of the best replica that happens to answer (review/8).
TEST_CASE("one replica alone shows nothing while another one may have received more", "[failover]")
{
    const auto evidence = LogEvidence::evaluate(logsOf(1, { log("two", std::nullopt), log("three", mark(1, 110)) }));
    CHECK_FALSE(evidence.isSufficient());
    CHECK_FALSE(evidence.covers(mark(1, 110)));
    CHECK_FALSE(evidence.covers(mark(2, 1000)));
    CHECK(evidence.missing() == std::vector<TargetId> { TargetId("two") });
}

TEST_CASE("the end of the old primary's log is evidence by itself", "[failover]")
{
    const auto evidence = LogEvidence::evaluate(logsOf(1, { log("two", std::nullopt), log("three", mark(1, 110)) }, mark(1, 120)));
    REQUIRE(evidence.isSufficient());
    CHECK_FALSE(evidence.covers(mark(1, 110)));
    CHECK(evidence.covers(mark(1, 120)));
}

TEST_CASE("a commit that waits for two replicas needs the logs of all but one", "[failover]")
{
    const std::vector<KnownLog> one { log("two", mark(1, 130)), log("three", std::nullopt), log("four", mark(1, 120)) };
    CHECK(LogEvidence::evaluate(logsOf(2, one)).covers(mark(1, 130)));
    const std::vector<KnownLog> two { log("two", mark(1, 130)), log("three", std::nullopt), log("four", std::nullopt) };
    CHECK_FALSE(LogEvidence::evaluate(logsOf(2, two)).isSufficient());
}

TEST_CASE("no log at all is no evidence", "[failover]")
{
    CHECK_FALSE(LogEvidence::evaluate(logsOf(1, {})).isSufficient());
    CHECK_FALSE(LogEvidence::evaluate(logsOf(3, { log("two", std::nullopt) })).isSufficient());
}

// Guards against a replica that passes for complete after it was started again without its log.
TEST_CASE("a target that has restarted counts as unknown unless its log reaches the beginning of the term", "[failover]")
{
    CHECK_FALSE(LogEvidence::evaluate(logsOf(1, { log("two", mark(1, 0), true), log("three", mark(1, 110)) })).isSufficient());
    CHECK(LogEvidence::evaluate(logsOf(1, { log("two", mark(1, 105), true), log("three", mark(1, 110)) })).covers(mark(1, 110)));
    CHECK(LogEvidence::evaluate(logsOf(1, { log("two", mark(1, 90)), log("three", mark(1, 110)) })).covers(mark(1, 110)));
}

TEST_CASE("a primary whose log is shorter than a replica's, or than at the beginning of the term, has lost it", "[failover]")
{
    const auto logs = logsOf(1, { log("two", std::nullopt), log("three", mark(1, 110)) });
    CHECK(isWholeLog(mark(1, 110), logs));
    CHECK_FALSE(isWholeLog(mark(1, 105), logs));
    CHECK_FALSE(isWholeLog(mark(1, 90), logsOf(1, { log("three", mark(1, 80)) })));
}

// Positions of different terms do not compare by their numbers alone.
TEST_CASE("a log of an older term, or one that does not reach the beginning of the term, is not complete", "[failover]")
{
    const auto evidence = LogEvidence::evaluate(logsOf(1, { log("two", mark(2, 120)), log("three", mark(1, 150)) }));
    REQUIRE(evidence.isSufficient());
    CHECK_FALSE(evidence.covers(mark(1, 150)));
    CHECK(evidence.covers(mark(2, 120)));
    const auto behind = LogEvidence::evaluate(logsOf(1, { log("two", mark(2, 90)), log("three", mark(1, 80)) }));
    CHECK_FALSE(behind.covers(mark(2, 90)));
    const auto newer = LogEvidence::evaluate(logsOf(1, { log("two", mark(1, 120)) }));
    CHECK_FALSE(newer.covers(mark(2, 110)));
}
