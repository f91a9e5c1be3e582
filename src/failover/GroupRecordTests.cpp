#include "failover/GroupRecord.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

GroupRecord makeRecord()
{
    GroupRecord record;
    record.primary = TargetId("one");
    record.term = Term(3);
    record.owner = InstanceId("daemon");
    return record;
}

std::string withField(const std::string& encoded, const std::string& field)
{
    return encoded.substr(0, encoded.rfind('}')) + "," + field + "}";
}

}

TEST_CASE("a record keeps the target of an unanswered call and until when it may be carried out", "[failover]")
{
    GroupRecord record = makeRecord();
    record.unansweredCandidate = TargetId("two");
    record.unansweredUntil = Instant(1'600'000'012'345.5);
    const auto decoded = decodeGroupRecord(encodeGroupRecord(record));
    REQUIRE(decoded.ok());
    CHECK(decoded->unansweredCandidate == record.unansweredCandidate);
    CHECK(decoded->unansweredUntil == record.unansweredUntil);
}

TEST_CASE("a record without an unanswered call is decoded as one of an earlier version", "[failover]")
{
    const std::string encoded = encodeGroupRecord(makeRecord());
    CHECK(encoded.find("unanswered") == std::string::npos);
    const auto decoded = decodeGroupRecord(encoded);
    REQUIRE(decoded.ok());
    CHECK(decoded->unansweredCandidate.isEmpty());
}

TEST_CASE("a record with an incomplete unanswered call is rejected", "[failover]")
{
    const std::string field = GENERATE(as<std::string> {}, R"("unanswered_candidate":"two")", R"("unanswered_until":5)", R"("unanswered_candidate":7,"unanswered_until":5)", R"("unanswered_candidate":"two","unanswered_until":"soon")");
    CAPTURE(field);
    CHECK_FALSE(decodeGroupRecord(withField(encodeGroupRecord(makeRecord()), field)).ok());
}

TEST_CASE("a record keeps what is known of the primary's log, so that another daemon can go on with the change", "[failover]")
{
    GroupRecord record = makeRecord();
    record.termBegin = { Term(3), LogPosition(1200) };
    record.history.add(Term(2), LogPosition(900));
    record.history.add(Term(3), LogPosition(1200));
    record.synchronousReplicas = 1;
    record.lastMark = LogMark { Term(3), LogPosition(1250) };
    const auto decoded = decodeGroupRecord(encodeGroupRecord(record));
    REQUIRE(decoded.ok());
    CHECK(decoded->termBegin == record.termBegin);
    CHECK(decoded->history.begins() == record.history.begins());
    CHECK(decoded->synchronousReplicas == 1);
    CHECK(decoded->lastMark == record.lastMark);
}

TEST_CASE("a record of an earlier version, without anything on logs, is decoded", "[failover]")
{
    const auto decoded = decodeGroupRecord(encodeGroupRecord(makeRecord()));
    REQUIRE(decoded.ok());
    CHECK(decoded->termBegin == LogMark());
    CHECK(decoded->synchronousReplicas == 0);
    CHECK_FALSE(decoded->lastMark.has_value());
}

TEST_CASE("a record with an incomplete log mark is rejected", "[failover]")
{
    const std::string field = GENERATE(as<std::string> {}, R"("term_begin":7)", R"("last_mark":{"term":3})", R"("last_mark":{"term":3,"position":"x"})", R"("synchronous_replicas":"one")");
    CAPTURE(field);
    CHECK_FALSE(decodeGroupRecord(withField(encodeGroupRecord(makeRecord()), field)).ok());
}

TEST_CASE("a record keeps when the change began", "[failover]")
{
    GroupRecord record = makeRecord();
    record.beganAt = Instant(1'600'000'012'345.5);
    const auto decoded = decodeGroupRecord(encodeGroupRecord(record));
    REQUIRE(decoded.ok());
    CHECK(decoded->beganAt == record.beganAt);
    CHECK_FALSE(decodeGroupRecord(withField(encodeGroupRecord(makeRecord()), R"("began_at":"soon")")).ok());
}
