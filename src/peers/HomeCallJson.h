#pragma once

#include "homes/HomeCall.h"

#include <absl/status/statusor.h>
#include <string_view>

namespace parsleypaddle {

/// Writes a call as JSON. Its deadline travels as the milliseconds that remain at `now`.
std::string encodeHomeCall(const HomeCall&, Instant now);

/// Reads a call; the deadline counts from `now`. Error: MalformedInput.
absl::StatusOr<HomeCall> decodeHomeCall(std::string_view text, Instant now);

/// Writes a reply as JSON. Times heard travel as ages at `now`, since clocks of daemons differ.
std::string encodeHomeReply(const HomeReply&, Instant now);

/// Reads a reply. Error: MalformedInput.
absl::StatusOr<HomeReply> decodeHomeReply(std::string_view text, Instant now);

}
