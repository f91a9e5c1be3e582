#pragma once

namespace parsleypaddle {

/// Where a daemon takes its peers' calls.
constexpr const char* homePath = "/v1/home";

/// The header that carries the key of a peer daemon.
constexpr const char* peerKeyHeader = "X-Parsleypaddle-Key";

}
