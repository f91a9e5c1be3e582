#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace parsleypaddle {

/// A parser of whole numbers within bounds, for YamlMap::value().
std::function<std::optional<uint32_t>(const std::string&)> wholeNumber(uint32_t least, uint32_t greatest);

/// Reads an IP number; nullopt for anything else, host names included.
std::optional<std::string> parseHost(const std::string& text);

}
