#pragma once

#include "base/Time.h"

#include <optional>
#include <string>

namespace parsleypaddle {

/// Reads a duration such as "250ms", "2s", "1m" or "24h"; nullopt when it has no unit or another one.
std::optional<Milliseconds> parseDuration(const std::string& text);

/// Writes a duration in the largest unit that gives a whole number.
std::string formatDuration(Milliseconds);

/// Reads a UTC time such as "2026-12-31T23:59:59Z".
std::optional<Instant> parseInstant(const std::string& text);

/// Writes a UTC time to the second.
std::string formatInstant(Instant);

}
