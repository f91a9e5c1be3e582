#include "configuration/CompressedText.h"

#include "base/ResultCode.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace parsleypaddle;

TEST_CASE("a compressed text expands to the same, and is smaller when it repeats itself", "[configuration]")
{
    CHECK(rc::check("any text", [](const std::string& text) { RC_ASSERT(expandText(compressText(text)).value() == text); }));
    const std::string repeated(100'000, 'x');
    const auto compressed = compressText(repeated);
    CHECK(compressed.size() < 1000);
    CHECK(compressed.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/=") == std::string::npos);
    CHECK(expandText(compressed).value() == repeated);
}

TEST_CASE("a damaged or oversized compressed text is refused", "[configuration]")
{
    CHECK(resultCodeOf(expandText("this is no compressed text").status()) == ResultCode::MalformedInput);
    auto damaged = compressText("a text that is to be damaged");
    damaged[12] = damaged[12] == 'A' ? 'B' : 'A';
    CHECK_FALSE(expandText(damaged).ok());
    const std::string oversized = compressText(std::string(17'000'000, 'x')); // NOLINT(bugprone-string-constructor)
    CHECK(resultCodeOf(expandText(oversized).status()) == ResultCode::TooLarge);
}
