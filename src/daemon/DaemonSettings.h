#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "configuration/ConfigurationFault.h"
#include "sessions/TokenSigner.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace parsleypaddle {

/// An IP number and a port; port 0 picks a free one.
struct Endpoint {
    std::string host;
    uint16_t port { 0 };
};

/// A daemon's own settings, as its YAML file gives them; docs/SETTINGS.md is their page.
struct DaemonSettings {
    InstanceId instance;
    FailureDomainId failureDomain;
    /// For callers and for statements forwarded by other daemons.
    Endpoint listen;
    /// For operators and the control traffic between daemons.
    Endpoint control;
    Endpoint platform;
    /// Control addresses of other daemons, or of a balancer before them, to learn the fleet from while the platform is away.
    std::vector<Endpoint> seedPeers;
    Milliseconds platformTimeout { 1000 };
    /// The file with the fleet's keys; the environment's PARSLEYPADDLE_KEYS when empty.
    std::string keyFile;
    std::string logLevel { "info" };
    /// How long a draining daemon goes on accepting, so that the balancer can notice.
    Milliseconds drainGrace { 1000 };
    /// How long it waits for work in flight before it gives up.
    Milliseconds drainLimit { 30'000 };
    unsigned callerLimit { 10'000 };
    size_t largestBody { size_t { 16 } << 20U };
};

/// Reads and checks a settings file. ConfigurationInvalid with one line (file, line, key, expected) for each fault.
absl::StatusOr<DaemonSettings> parseDaemonSettings(const std::string& document, const std::string& file);

/// Reads the file and parses it.
absl::StatusOr<DaemonSettings> loadDaemonSettings(const std::string& file);

/// The fleet's keys.
struct DaemonKeys {
    /// The first is shown to other daemons, all are accepted from them and from operators.
    std::vector<std::string> peer;
    std::vector<TokenKey> token;
};

/// Reads keys from text: lines "peer SECRET" and "token ID SECRET". ConfigurationInvalid names the line, never its secret.
absl::StatusOr<DaemonKeys> parseDaemonKeys(const std::string& text, const std::string& source);

/// Reads the keys from the settings' file or from the environment.
absl::StatusOr<DaemonKeys> loadDaemonKeys(const DaemonSettings&);

}
