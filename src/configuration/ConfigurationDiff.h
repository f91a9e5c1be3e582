#pragma once

#include "configuration/Configuration.h"

#include <string>
#include <vector>

namespace parsleypaddle {

/// One value that differs between two configurations; an empty side has no such value.
struct ConfigurationChange {
    /// Path by ids, such as "groups/fitting-1/slots".
    std::string key;
    std::string before;
    std::string after;

    /// "KEY: BEFORE -> AFTER", with "none" for an empty side.
    std::string describe() const;
};

/// What has to change to make `after` of `before`, ordered by key. Versions are left out.
std::vector<ConfigurationChange> compareConfigurations(const Configuration& before, const Configuration& after);

/// Those changes in one line, cut after the first few.
std::string summarizeChanges(const std::vector<ConfigurationChange>&);

}
