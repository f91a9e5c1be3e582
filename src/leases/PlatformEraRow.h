#pragma once

#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <string>

namespace parsleypaddle {

/// The row of the control table by which the daemons agree that an era of the platform has begun. It is written before any group's
/// record in that era, so that records with lower versions are known to come from the copy.
struct PlatformEraRow {
    RowVersion version;
    /// A time of the platform's clock in this era. No lease of an earlier era was granted later.
    Instant beganAt;
};

std::string eraKey(PlatformEra);
std::string encodeEraRow(Instant beganAt);
/// MalformedInput for text that is not a JSON object, MissingField without a numeric time.
absl::StatusOr<PlatformEraRow> decodeEraRow(const StoredRow&);

/// Expects that no later era has begun. Version numbers are given out again after the return from a copy, so a transaction that the
/// platform applies late might otherwise find the numbers that it expects on other rows.
RowExpectation eraFence(PlatformEra);

}
