#pragma once

namespace parsleypaddle {

/// The table of the groups' primaries, of suspicions, and of the epoch row.
inline constexpr const char* controlTable = "control";

/// The row that every change of a primary writes as it begins.
inline constexpr const char* epochKey = "epoch";

}
