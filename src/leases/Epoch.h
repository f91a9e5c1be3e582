#pragma once

namespace parsleypaddle {

/// Platform table that holds the groups' records, the suspicions and the epoch row.
inline constexpr const char* controlTable = "control";

/// Row that every change of a primary writes when it begins, so that the row's version increases.
inline constexpr const char* epochKey = "epoch";

}
