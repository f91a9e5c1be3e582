#pragma once

#include <string>
#include <vector>

namespace parsleypaddle {

/// Whether `given` is one of `keys`. The time it takes tells nothing about how much of a key was right.
bool isKnownKey(const std::vector<std::string>& keys, const std::string& given);

}
