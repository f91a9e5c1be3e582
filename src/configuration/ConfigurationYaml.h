#pragma once

#include "configuration/Configuration.h"
#include "configuration/ConfigurationFault.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace parsleypaddle {

/// What reading a document brought: a configuration, or every fault in it.
struct ParsedConfiguration {
    Configuration configuration;
    std::vector<ConfigurationFault> faults;

    bool isValid() const { return faults.empty(); }
};

/// Reads a document and checks it whole. docs/CONFIGURATION.md shows its form.
ParsedConfiguration parseConfiguration(const std::string& document);

/// Like parseConfiguration(); ConfigurationInvalid with a line for each fault. `file` names the document in them.
absl::StatusOr<Configuration> loadConfiguration(const std::string& document, const std::string& file);

/// Writes a configuration as a document, in a fixed order, so that documents can be compared by line.
std::string writeConfiguration(const Configuration&);

}
