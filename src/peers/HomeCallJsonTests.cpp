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
    request.organisation = OrganisationId("yoff-3");
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

TEST_CASE("a decoded home call has the same time left even when the daemons' clocks differ", "[peers]")
{
    const Instant senderTime(1'700'000'000'000.0);
    const Instant receiverTime = senderTime + Milliseconds(90'000);
    const HomeCall call = exampleCall(senderTime);
    const auto read = decodeHomeCall(encodeHomeCall(call, senderTime), receiverTime);
    REQUIRE(read.ok());
    CHECK(read->request.deadline == receiverTime + Milliseconds(250));
    CHECK(read->operation == call.operation);
    CHECK(read->target == call.target);
    CHECK(read->minimumPosition == call.minimumPosition);
    CHECK(read->minimumTerm == call.minimumTerm);
    CHECK(read->request.statement.parameters == call.request.statement.parameters);
    CHECK(read->request.transaction->step == TransactionStep::Continue);
    CHECK(read->request.repeatability == Repeatability::NotRepeatable);
    CHECK(encodeHomeCall(*read, receiverTime) == encodeHomeCall(call, senderTime));
}

TEST_CASE("a home reply is decoded with its rows and its view of the group", "[peers]")
{
    const Instant senderTime(1'700'000'000'000.0);
    const Instant receiverTime = senderTime + Milliseconds(5'000);
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
    reply.view.targets[0].lastAnswerAt = senderTime - Milliseconds(30);

    const auto read = decodeHomeReply(encodeHomeReply(reply, senderTime), receiverTime);
    REQUIRE(read.ok());
    CHECK(read->position == reply.position);
    CHECK(read->answer.rows.values == reply.answer.rows.values);
    CHECK(read->view.targets[0].lastAnswerAt == receiverTime - Milliseconds(30));
    CHECK(read->view.targets[1].lastAnswerAt == Instant());
    CHECK(encodeHomeReply(*read, receiverTime) == encodeHomeReply(reply, senderTime));
}

TEST_CASE("decoding a malformed message between daemons fails", "[peers]")
{
    const auto text = GENERATE(as<std::string>(), "", "{", "{}", "{\"op\":9,\"req\":{}}", "{\"op\":\"x\"}", "{\"op\":0,\"target\":{},\"req\":1}", "{\"ans\":{\"code\":1}}", "{\"ans\":[],\"term\":-1}");
    CAPTURE(text);
    CHECK(resultCodeOf(decodeHomeCall(text, Instant()).status()) == ResultCode::MalformedInput);
    CHECK(resultCodeOf(decodeHomeReply(text, Instant()).status()) == ResultCode::MalformedInput);
}
