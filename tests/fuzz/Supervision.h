#pragma once

#include "tests/fuzz/FuzzTargets.h"

#include <string>

namespace parsleypaddle::fuzz {

/// Processor time that one input may take, in seconds.
constexpr unsigned maximumInputSeconds = 1;

/// From now on, an input that ends the process or takes too long is written to a file first.
void installSupervision();

/// Runs a target on an input, which is written to `findingPath` if it fails.
void runSupervised(const FuzzTarget&, std::string_view input, const std::string& findingPath);

/// From now on, isTimeOver() is false until the seconds have passed.
void beginTime(unsigned seconds);
bool isTimeOver();

}
