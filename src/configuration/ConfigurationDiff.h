#pragma once

#include "configuration/Configuration.h"

#include <string>
#include <vector>

namespace parsleypaddle {

/// One value that differs between two configurations. `before` or `after` is empty when that configuration does not
/// contain the value.
struct ConfigurationChange {
    /// Path by ids, such as "groups/fitting-1/slots".
    std::string key;
    std::string before;
    std::string after;

    /// Formats the change as "KEY: BEFORE -> AFTER", with "none" for an empty value.
    std::string describe() const;
};

/// Returns the values that differ, ordered by key. The version number is not compared.
std::vector<ConfigurationChange> compareConfigurations(const Configuration& before, const Configuration& after);

/// Formats the first five changes in one line, followed by the number of further ones.
std::string summarizeChanges(const std::vector<ConfigurationChange>&);

}
