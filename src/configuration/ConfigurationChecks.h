#pragma once

#include "configuration/Configuration.h"
#include "configuration/YamlReader.h"

namespace parsleypaddle {

/// Adds a fault for each duplicate id, name or address, for each exception that names an undeclared database or class, and
/// for a second exception with the same scope and setting. `document` is the mapping that the configuration was read
/// from; its lists have the same items in the same order.
void checkConsistency(const YamlMap& document, const Configuration&, YamlFaults&);

}
