#pragma once

#include "base/Time.h"

#include <optional>
#include <string>

namespace parsleypaddle {

/// Parses a duration such as "250ms", "2s", "1m" or "24h"; nullopt when the number or the unit is invalid or missing.
std::optional<Milliseconds> parseDuration(const std::string& text);

/// Formats a duration in the largest unit that gives a whole number of at least 1; in milliseconds when there is none.
std::string formatDuration(Milliseconds);

/// Parses a UTC time such as "2026-12-31T23:59:59Z"; nullopt for any other notation.
std::optional<Instant> parseInstant(const std::string& text);

/// Formats a UTC time as "2026-12-31T23:59:59Z", without fractions of a second.
std::string formatInstant(Instant);

}
