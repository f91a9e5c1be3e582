#pragma once

#include "base/ResultCode.h"

namespace parsleypaddle {

/// How the tool ends; docs/OPERATORS.md lists the numbers.
enum class ExitCode : uint8_t {
    Done = 0,
    OtherError = 1,
    Usage = 2,
    InvalidDocument = 3,
    Conflict = 4,
    NoDaemon = 5,
    /// Accepted, but not seen in force on every daemon in time.
    NotEverywhere = 6,
    KeyRefused = 7,
    OutcomeUnknown = 8,
    NotFound = 9,
    /// `config diff` found differences.
    Different = 10,
    PlatformUnavailable = 11,
};

/// The exit code that tells of an error with that result code.
ExitCode exitCodeOf(ResultCode);

}
