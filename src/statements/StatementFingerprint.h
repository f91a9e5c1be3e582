#pragma once

#include "statements/Rows.h"

#include <cstdint>

namespace parsleypaddle {

/// A hash of a statement's text, by which run times are learned.
uint64_t fingerprintOfText(const SqlStatement&);

/// A hash of a statement with its parameters. Every process and release gives the same one: ledgers keep it.
uint64_t fingerprintOf(const SqlStatement&);

}
