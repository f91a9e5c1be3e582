#pragma once

namespace parsleypaddle {

/// The HTTP path at which a daemon receives the calls of its peers (HomeCall).
constexpr const char* homeCallPath = "/v1/home";

/// The HTTP header that carries the calling daemon's key.
constexpr const char* peerKeyHeader = "X-Parsleypaddle-Key";

}
