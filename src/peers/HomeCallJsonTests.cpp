#include "peers/HomeCallJson.h"

#include "base/ResultCode.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

HomeCall exampleCall(Instant now)
{
    HomeCall call;
    call.operation = HomeOperation::Write;
    call.target = TargetId("db-1-a");
    call.minimumPosition = LogPosition(77);
    call.minimumTerm = Term(3);
    call.greatestAge = Milliseconds(12.5);
    auto& request = call.request;
    request.shop = ShopId("yoff-3");
    request.session = SessionId("s");
    request.id = RequestId("1700000000000-a");
    request.workload = ClassName("fitting");
    request.database = DatabaseId("db-1");
    request.statement = { "insert", { "a\"b", std::nullopt } };
    request.mode = AccessMode::Write;
    request.repeatability = Repeatability::NotRepeatable;
    request.greatestAge = Milliseconds(3);
    request.deadline = now + Milliseconds(250);
    request.transaction = TransactionPart { TransactionStep::Continue, TransactionId("t-1") };
    return call;
}

}

TEST_CASE("a call to a home keeps its deadline over a difference of clocks", "[peers]")
{
    const Instant here(1'700'000'000'000.0);
    const Instant there = here + Milliseconds(90'000);
    const HomeCall call = exampleCall(here);
    const auto read = decodeHomeCall(encodeHomeCall(call, here), there);
    REQUIRE(read.ok());
    CHECK(read->request.deadline == there + Milliseconds(250));
    CHECK(read->operation == call.operation);
    CHECK(read->target == call.target);
    CHECK(read->minimumPosition == call.minimumPosition);
    CHECK(read->minimumTerm == call.minimumTerm);
    CHECK(read->request.statement.parameters == call.request.statement.parameters);
    CHECK(read->request.transaction->step == TransactionStep::Continue);
    CHECK(read->request.repeatability == Repeatability::NotRepeatable);
    CHECK(encodeHomeCall(*read, there) == encodeHomeCall(call, here));
}

TEST_CASE("a home's reply is read back with rows and view", "[peers]")
{
    const Instant here(1'700'000'000'000.0);
    const Instant there = here + Milliseconds(5'000);
    HomeReply reply;
    reply.answer.code = ResultCode::DoneEarlier;
    reply.answer.rows.columns = { "a" };
    reply.answer.rows.values = { { "1" }, { std::nullopt } };
    reply.answer.ackLevel = AckLevel::TermConfirmed;
    reply.term = Term(4);
    reply.position = LogPosition(1ULL << 60U);
    reply.view.database = DatabaseId("db-1");
    reply.view.primary = TargetId("db-1-a");
    reply.view.targets.resize(2);
    reply.view.targets[0].status.role = TargetRole::Primary;
    reply.view.targets[0].status.logTerm = Term(4);
    reply.view.targets[0].heardAt = here - Milliseconds(30);

    const auto read = decodeHomeReply(encodeHomeReply(reply, here), there);
    REQUIRE(read.ok());
    CHECK(read->position == reply.position);
    CHECK(read->answer.rows.values == reply.answer.rows.values);
    CHECK(read->view.targets[0].heardAt == there - Milliseconds(30));
    CHECK(read->view.targets[1].heardAt == Instant());
    CHECK(encodeHomeReply(*read, there) == encodeHomeReply(reply, here));
}

TEST_CASE("a damaged message between daemons is refused", "[peers]")
{
    const auto text = GENERATE(as<std::string>(), "", "{", "{}", "{\"op\":9,\"req\":{}}", "{\"op\":\"x\"}", "{\"op\":0,\"target\":{},\"req\":1}", "{\"ans\":{\"code\":1}}", "{\"ans\":[],\"term\":-1}");
    CAPTURE(text);
    CHECK(resultCodeOf(decodeHomeCall(text, Instant()).status()) == ResultCode::MalformedInput);
    CHECK(resultCodeOf(decodeHomeReply(text, Instant()).status()) == ResultCode::MalformedInput);
}
