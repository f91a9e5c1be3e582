#pragma once

#include <absl/status/statusor.h>
#include <string>

namespace parsleypaddle {

/// Compresses a text with zlib and encodes the result in Base64, so that it needs no escaping in JSON.
std::string compressText(const std::string& text);

/// Decompresses the result of compressText(). MalformedInput when the input is damaged, TooLarge when the text exceeds
/// 16 MiB.
absl::StatusOr<std::string> decompressText(const std::string& compressed);

}
