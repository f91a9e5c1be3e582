#include "base/ResultCode.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace parsleypaddle;

TEST_CASE("a status carries its result code", "[base]")
{
    const absl::Status status = makeError(ResultCode::TargetBehind, "behind");
    CHECK_FALSE(status.ok());
    CHECK(resultCodeOf(status) == ResultCode::TargetBehind);
    CHECK(resultCodeOf(absl::OkStatus()) == ResultCode::Done);
    CHECK(resultCodeOf(absl::InternalError("foreign")) == ResultCode::OutcomeUnknown);
}

TEST_CASE("docs/RESULT_CODES.md lists every result code with its name, outcome and meaning", "[base]")
{
    std::ifstream file(std::string(PARSLEYPADDLE_SOURCE_DIR) + "/docs/RESULT_CODES.md");
    std::stringstream buf;
    buf << file.rdbuf();
    const std::string page = buf.str();
    for (const auto& info : resultCodes()) {
        std::stringstream row;
        row << "| " << static_cast<int>(info.code) << " | `" << info.name << "` | " << nameOf(outcomeOf(info.code)) << " | " << info.meaning << " |";
        INFO(row.str());
        CHECK(page.find(row.str()) != std::string::npos);
    }
}
