#pragma once

#include <cstddef>

namespace parsleypaddle {

/// The path of the control interface.
constexpr const char* controlPath = "/control";

/// The header that carries the control key.
constexpr const char* controlKeyHeader = "X-Parsleypaddle-Key";

/// Bytes of one message at most, either way.
constexpr size_t controlMessageLimit = size_t { 16 } * 1024 * 1024;

/// Result codes that the control interface itself gives. The library is built as C++14, which ResultCode.h is not.
enum ControlCode {
    ControlMalformedInput = 2001,
    ControlTooLarge = 2006,
    ControlUnknownMethod = 2009,
    ControlKeyRefused = 2701,
    ControlPeerUnreachable = 2208,
    ControlPeerSilent = 3005,
};

}
