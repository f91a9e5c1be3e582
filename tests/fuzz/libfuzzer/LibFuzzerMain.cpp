#include "tests/fuzz/FuzzTargets.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>

using namespace parsleypaddle::fuzz;

namespace {

/// The target that FUZZ_TARGET names.
const FuzzTarget& chosenTarget()
{
    const char* name = std::getenv("FUZZ_TARGET");
    const FuzzTarget* target = name ? findFuzzTarget(name) : nullptr;
    if (!target) {
        std::fputs("FUZZ_TARGET must be the name of a target\n", stderr);
        std::exit(EXIT_FAILURE);
    }
    return *target;
}

}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) // NOLINT(readability-identifier-naming)
{
    static const FuzzTarget& target = chosenTarget();
    target.run({ reinterpret_cast<const char*>(data), size });
    return 0;
}
