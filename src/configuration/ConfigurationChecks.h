#pragma once

#include "configuration/Configuration.h"
#include "configuration/YamlReader.h"

namespace parsleypaddle {

/// Notes ids that stand twice, and exceptions that name an undeclared database or class.
/// `document` is the mapping that `configuration` was read from, item by item.
void checkReferences(const YamlMap& document, const Configuration&, YamlFaults&);

}
