#include "tests/fuzz/Coverage.h"

#include <cstddef>
#include <cstdint>
#include <utility>

namespace {

bool hasNewPlace = false;

}

#if defined(__GNUC__) && !defined(__clang__)
// GCC calls this at the beginning of each basic block.
extern "C" __attribute__((no_sanitize_coverage)) void __sanitizer_cov_trace_pc() // NOLINT(bugprone-reserved-identifier,readability-identifier-naming)
{
    // Relative to the program, which the system loads at another address each time.
    const auto place = reinterpret_cast<uintptr_t>(__builtin_return_address(0)) - reinterpret_cast<uintptr_t>(&__sanitizer_cov_trace_pc);
    constexpr unsigned mapBits = 16;
    static bool seenPlaces[size_t { 1 } << mapBits];
    constexpr uint64_t multiplier = 0x9e3779b97f4a7c15;
    bool& isSeen = seenPlaces[(place * multiplier) >> (64 - mapBits)];
    hasNewPlace = hasNewPlace || !isSeen;
    isSeen = true;
}
#endif

namespace parsleypaddle::fuzz {

bool takeNewCoverage()
{
    return std::exchange(hasNewPlace, false);
}

}
