#pragma once

#include "groups/TargetStatus.h"
#include "pq/PqHandle.h"
#include "statements/Rows.h"

#include <optional>

namespace parsleypaddle {

/// The rows of a result and the number of rows it changed.
Rows rowsOf(const PGresult*);

/// The status in a result of parsleypaddle.status(); nullopt when it is not one.
std::optional<TargetStatus> statusOf(const PGresult*);

/// Whether the first value of a result is true.
bool isTrue(const PGresult*);

}
