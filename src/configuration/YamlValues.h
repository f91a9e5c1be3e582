#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace parsleypaddle {

/// Returns a parser for whole numbers from `minimum` to `maximum`, for YamlMap::value().
std::function<std::optional<uint32_t>(const std::string&)> wholeNumberParser(uint32_t minimum, uint32_t maximum);

/// Accepts an IP address; nullopt for anything else, including host names.
std::optional<std::string> parseIpAddress(const std::string& text);

}
