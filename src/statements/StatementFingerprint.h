#pragma once

#include "statements/Rows.h"

#include <cstdint>

namespace parsleypaddle {

/// A hash of a statement's text without its parameters. The scheduler records run times under it.
uint64_t fingerprintOfText(const SqlStatement&);

/// A hash of a statement's text and parameters. It must be the same in every process and release, because it is stored in
/// the ledgers.
uint64_t fingerprintOf(const SqlStatement&);

}
