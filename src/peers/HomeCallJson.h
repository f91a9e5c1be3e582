#pragma once

#include "homes/HomeCall.h"

#include <absl/status/statusor.h>
#include <string_view>

namespace parsleypaddle {

/// Encodes a call as JSON. The deadline is encoded as the milliseconds that remain at `now`.
std::string encodeHomeCall(const HomeCall&, Instant now);

/// Decodes a call; the remaining milliseconds count from `now`. Error: MalformedInput.
absl::StatusOr<HomeCall> decodeHomeCall(std::string_view text, Instant now);

/// Encodes a reply as JSON. The times at which target statuses were received are encoded as ages at `now`, because the
/// clocks of daemons differ.
std::string encodeHomeReply(const HomeReply&, Instant now);

/// Decodes a reply; the ages count back from `now`. Error: MalformedInput.
absl::StatusOr<HomeReply> decodeHomeReply(std::string_view text, Instant now);

}
