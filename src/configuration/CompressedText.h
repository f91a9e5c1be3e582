#pragma once

#include <absl/status/statusor.h>
#include <string>

namespace parsleypaddle {

/// Compresses a text into one of plain letters and digits, which fits into JSON as it is.
std::string compressText(const std::string& text);

/// Reverses compressText(). MalformedInput when it was damaged, TooLarge when the result exceeds 16 MiB.
absl::StatusOr<std::string> expandText(const std::string& compressed);

}
