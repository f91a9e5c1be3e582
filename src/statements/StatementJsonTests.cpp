#include "statements/StatementJson.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

const Instant decodeTime { 1'700'000'000'000.0 };

std::string requestWith(const std::string& fields, const std::string& without = "")
{
    static const std::vector<std::pair<std::string, std::string>> base {
        { "version", "1" },
        { "shop", "\"plateau-12\"" },
        { "request_id", "\"1700000000000-a_B-9\"" },
        { "class", "\"fitting\"" },
        { "database", "\"fitting-1\"" },
        { "statement", "\"select 1\"" },
        { "mode", "\"read\"" },
        { "deadline_ms", "250" },
    };
    std::string body = "{" + fields;
    for (const auto& [name, value] : base) {
        if (name == without || fields.find("\"" + name + "\":") != std::string::npos)
            continue;
        if (body.size() > 1)
            body += ',';
        body.append("\"").append(name).append("\":").append(value);
    }
    return body + "}";
}

struct BadRequest {
    std::string body;
    ResultCode code;
    std::string message;
};

}

TEST_CASE("every field of a request without a transaction is decoded", "[statements]")
{
    const auto request = decodeStatementRequest(
        requestWith(R"("session":"s-1","parameters":["a\u00e9",12345678901234567890123,0.10,true,null,-7],"greatest_age_ms":1500,"repeatable":true,"attempt":3,"token":"t")"), decodeTime);
    INFO(request.status());
    REQUIRE(request.ok());
    CHECK(request->organisation == OrganisationId("plateau-12"));
    CHECK(request->session == SessionId("s-1"));
    CHECK(request->id == RequestId("1700000000000-a_B-9"));
    CHECK(request->workload == ClassName("fitting"));
    CHECK(request->database == DatabaseId("fitting-1"));
    CHECK(request->statement.text == "select 1");
    CHECK(request->statement.parameters == std::vector<SqlValue> { "a\u00e9", "12345678901234567890123", "0.10", "true", std::nullopt, "-7" });
    CHECK(request->mode == AccessMode::Read);
    CHECK(request->repeatability == Repeatability::Repeatable);
    CHECK(request->greatestAge == Milliseconds(1500));
    CHECK(request->deadline == decodeTime + Milliseconds(250));
    CHECK(request->token == "t");
    CHECK(request->attempt == 3);
    CHECK_FALSE(request->transaction);
}

TEST_CASE("a request without a deadline is decoded with a deadline of zero", "[statements]")
{
    const auto request = decodeStatementRequest(requestWith("", "deadline_ms"), decodeTime);
    REQUIRE(request.ok());
    CHECK(request->deadline == Instant());
}

TEST_CASE("a transaction begins without an id, and its commit carries the id but no statement", "[statements]")
{
    const auto begin = decodeStatementRequest(requestWith(R"("mode":"write","transaction":{"step":"begin"})"), decodeTime);
    REQUIRE(begin.ok());
    CHECK(begin->transaction->step == TransactionStep::Begin);
    CHECK(begin->repeatability == Repeatability::NotRepeatable);
    const auto commit = decodeStatementRequest(requestWith(R"("mode":"write","transaction":{"step":"commit","id":"h1-4"})", "statement"), decodeTime);
    REQUIRE(commit.ok());
    CHECK(commit->transaction->id == TransactionId("h1-4"));
    CHECK(commit->statement.text.empty());
}

TEST_CASE("an invalid request is rejected with a result code and a message that names the fault", "[statements]")
{
    const std::string longName(129, 'x');
    const auto bad = GENERATE_COPY(values<BadRequest>({
        { "", ResultCode::MalformedInput, "body: not JSON" },
        { "[1]", ResultCode::MalformedInput, "body: not a JSON object" },
        { "{\"version\":1", ResultCode::MalformedInput, "body: not JSON" },
        { requestWith("") + "x", ResultCode::MalformedInput, "body: not JSON" },
        { requestWith(R"("shop":"a","shop":"b")"), ResultCode::MalformedInput, "Duplicate key" },
        { std::string(100, '['), ResultCode::MalformedInput, "nested deeper than 16" },
        { requestWith("\"token\":\"\xff\""), ResultCode::MalformedInput, "body: not UTF-8" },
        { requestWith("\"token\":\"\xed\xa0\x80\""), ResultCode::MalformedInput, "body: not UTF-8" },
        { requestWith("\"token\":\"\xc3"), ResultCode::MalformedInput, "body: not" },
        { requestWith(R"("colour":1)"), ResultCode::UnknownField, "colour: not a field of version 1" },
        { requestWith(R"("transaction":{"step":"begin","colour":1})"), ResultCode::UnknownField, "transaction.colour: not a field" },
        { requestWith(R"("version":2,"colour":1)"), ResultCode::WrongVersion, "version: found 2, expected 1" },
        { requestWith(R"("version":"1")"), ResultCode::WrongType, "version: found a string, expected a whole number" },
        { requestWith("", "version"), ResultCode::MissingField, "version: absent" },
        { requestWith("", "shop"), ResultCode::MissingField, "shop: absent" },
        { requestWith("", "statement"), ResultCode::MissingField, "statement: absent" },
        { requestWith("", "mode"), ResultCode::MissingField, "mode: absent" },
        { requestWith(R"("shop":7)"), ResultCode::WrongType, "shop: found a number, expected a string" },
        { requestWith(R"("shop":"")"), ResultCode::ValueOutOfRange, "shop: found 0 bytes, expected 1 to 128 bytes" },
        { requestWith("\"shop\":\"" + longName + "\""), ResultCode::ValueOutOfRange, "shop: found 129 bytes" },
        { requestWith(R"("statement":"a\u0000b")"), ResultCode::ValueOutOfRange, "statement: found a NUL character" },
        { requestWith(R"("request_id":"170000000000-abc")"), ResultCode::ValueOutOfRange, "request_id: found a malformed id" },
        { requestWith(R"("request_id":"1700000000000-")"), ResultCode::ValueOutOfRange, "request_id: found a malformed id" },
        { requestWith(R"("request_id":"1700000000000-a b")"), ResultCode::ValueOutOfRange, "request_id: found a malformed id" },
        { requestWith(R"("parameters":{})"), ResultCode::WrongType, "parameters: found an object, expected an array" },
        { requestWith(R"("parameters":[1,[2]])"), ResultCode::WrongType, "parameters[1]: found an array" },
        { requestWith(R"("mode":"delete")"), ResultCode::ValueOutOfRange, "mode: found an unknown value" },
        { requestWith(R"("mode":true)"), ResultCode::WrongType, "mode: found a boolean" },
        { requestWith(R"("mode":"write","greatest_age_ms":5)"), ResultCode::ValueOutOfRange, "greatest_age_ms: found a value with mode \"write\"" },
        { requestWith(R"("greatest_age_ms":-1)"), ResultCode::ValueOutOfRange, "greatest_age_ms: found -1, expected 0 to" },
        { requestWith(R"("greatest_age_ms":null)"), ResultCode::WrongType, "greatest_age_ms: found null" },
        { requestWith(R"("attempt":0)"), ResultCode::ValueOutOfRange, "attempt: found 0, expected 1 to 1000" },
        { requestWith(R"("attempt":1.5)"), ResultCode::WrongType, "attempt: found a number, expected a whole number" },
        { requestWith(R"("repeatable":1)"), ResultCode::WrongType, "repeatable: found a number, expected a boolean" },
        { requestWith(R"("deadline_ms":0)"), ResultCode::ValueOutOfRange, "deadline_ms: found 0, expected 1 to 600000" },
        { requestWith(R"("deadline_ms":1e9)"), ResultCode::ValueOutOfRange, "deadline_ms: found 1e+09" },
        { requestWith(R"("transaction":"begin")"), ResultCode::WrongType, "transaction: found a string, expected an object" },
        { requestWith(R"("transaction":{})"), ResultCode::MissingField, "transaction.step: absent" },
        { requestWith(R"("transaction":{"step":"end"})"), ResultCode::ValueOutOfRange, "transaction.step: found an unknown value" },
        { requestWith(R"("transaction":{"step":"continue"})"), ResultCode::MissingField, "transaction.id: absent" },
        { requestWith(R"("transaction":{"step":"begin","id":"x"})"), ResultCode::ValueOutOfRange, "transaction.id: found an id" },
        { requestWith(R"("transaction":{"step":"commit","id":"x"})"), ResultCode::ValueOutOfRange, "statement: found a statement or parameters with step" },
    }));
    CAPTURE(bad.body);
    const auto request = decodeStatementRequest(bad.body, decodeTime);
    REQUIRE_FALSE(request.ok());
    CHECK(resultCodeOf(request.status()) == bad.code);
    CHECK_THAT(std::string(request.status().message()), Catch::Contains(bad.message));
}

TEST_CASE("an encoded answer decodes to the same values", "[statements]")
{
    StatementAnswer answer;
    answer.id = RequestId("1700000000000-a");
    answer.code = ResultCode::NotConfirmed;
    answer.message = "the \"deadline\" came first";
    answer.rows.columns = { "a", "b" };
    answer.rows.values = { { "caf\u00e9\n", std::nullopt }, { "", "2" } };
    answer.rows.affectedRows = 3;
    answer.token = "t";
    answer.ackLevel = AckLevel::Committed;
    answer.transaction = TransactionId("h-1");
    answer.target = TargetId("db-2");
    answer.age = Milliseconds(12.5);
    answer.retryAfter = Milliseconds(40);

    const std::string text = encodeStatementAnswer(answer);
    CHECK_THAT(text, Catch::Contains("\"outcome\":\"unknown\"") && Catch::Contains("\"name\":\"not_confirmed\""));
    const auto read = decodeStatementAnswer(text);
    REQUIRE(read.ok());
    CHECK(read->rows.values == answer.rows.values);
    CHECK(read->rows.affectedRows == 3);
    CHECK(read->code == answer.code);
    CHECK(read->ackLevel == answer.ackLevel);
    CHECK(encodeStatementAnswer(*read) == text);
    CHECK_FALSE(decodeStatementAnswer("{\"code\":4}").ok());
}
