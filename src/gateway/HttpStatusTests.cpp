#include "gateway/HttpStatus.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

TEST_CASE("the HTTP status of every result code agrees with its outcome", "[gateway]")
{
    for (const auto& it : resultCodes()) {
        const unsigned status = httpStatusOf(it.code);
        CAPTURE(it.name, status);
        switch (outcomeOf(it.code)) {
        case Outcome::Done:
            CHECK(status == 200);
            break;
        case Outcome::NotRun:
            CHECK(((status >= 400 && status < 500) || status == 503));
            break;
        case Outcome::Unknown:
            CHECK(status == 504);
            break;
        }
    }
    CHECK(httpStatusOf(ResultCode::MalformedInput) == 400);
    CHECK(httpStatusOf(ResultCode::KeyRefused) == 401);
    CHECK(httpStatusOf(ResultCode::TransactionBusy) == 409);
    CHECK(httpStatusOf(ResultCode::TooLarge) == 413);
    CHECK(httpStatusOf(ResultCode::StatementFailed) == 422);
    CHECK(httpStatusOf(ResultCode::Overloaded) == 503);
}
