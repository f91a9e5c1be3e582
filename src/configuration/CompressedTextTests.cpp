#include "configuration/CompressedText.h"

#include "base/ResultCode.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace parsleypaddle;

TEST_CASE("decompressing a compressed text restores it, and repetitive text becomes smaller", "[configuration]")
{
    CHECK(rc::check("any text", [](const std::string& text) { RC_ASSERT(decompressText(compressText(text)).value() == text); }));
    const std::string repeated(100'000, 'x');
    const auto compressed = compressText(repeated);
    CHECK(compressed.size() < 1000);
    CHECK(compressed.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/=") == std::string::npos);
    CHECK(decompressText(compressed).value() == repeated);
}

TEST_CASE("decompressing fails for a damaged or oversized text", "[configuration]")
{
    CHECK(resultCodeOf(decompressText("this is not a compressed text").status()) == ResultCode::MalformedInput);
    auto damaged = compressText("a text that will be damaged");
    damaged[12] = damaged[12] == 'A' ? 'B' : 'A';
    CHECK_FALSE(decompressText(damaged).ok());
    const std::string oversized = compressText(std::string(17'000'000, 'x')); // NOLINT(bugprone-string-constructor)
    CHECK(resultCodeOf(decompressText(oversized).status()) == ResultCode::TooLarge);
}

TEST_CASE("a part of a compressed text is not taken for the whole", "[configuration]")
{
    std::string text;
    for (int n = 0; n < 200; ++n)
        text += "line " + std::to_string(n * n) + '\n';
    const std::string compressed = compressText(text);
    for (size_t n = 1; n < compressed.size(); ++n) {
        CAPTURE(n);
        CHECK_FALSE(decompressText(compressed.substr(0, n)).ok());
    }
}
