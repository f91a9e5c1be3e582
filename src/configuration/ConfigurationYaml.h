#pragma once

#include "configuration/Configuration.h"
#include "configuration/ConfigurationFault.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace parsleypaddle {

/// The result of parsing a document. The configuration is usable only when there are no faults.
struct ParsedConfiguration {
    Configuration configuration;
    std::vector<ConfigurationFault> faults;

    bool isValid() const { return faults.empty(); }
};

/// Parses and validates a document, and collects every fault in it; a YAML syntax error is reported alone.
/// docs/CONFIGURATION.md describes the format.
ParsedConfiguration parseConfiguration(const std::string& document);

/// Like parseConfiguration(), but fails with ConfigurationInvalid, whose message has one line per fault. Each line
/// starts with `file`, the name of the document.
absl::StatusOr<Configuration> loadConfiguration(const std::string& document, const std::string& file);

/// Writes a configuration as a document. The order of the keys is fixed, so that documents can be compared by line.
std::string writeConfiguration(const Configuration&);

}
