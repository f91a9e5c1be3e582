#pragma once

#include <string>
#include <vector>

namespace parsleypaddle {

/// Whether `given` equals one of `keys`. The comparison runs in constant time for keys of equal length, so that its
/// duration does not reveal how many leading bytes match. Empty keys never match.
bool isKnownKey(const std::vector<std::string>& keys, const std::string& given);

}
