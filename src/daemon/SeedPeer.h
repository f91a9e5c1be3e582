#pragma once

#include "daemon/DaemonSettings.h"
#include "platform_ports/PlatformPorts.h"

namespace parsleypaddle {

/// The daemons that another one knows, leaving targets left out: for a start while the platform does not answer.
/// Blocks; PeerUnreachable or PeerSilent when it does not answer in time.
absl::StatusOr<PlatformList> askSeedPeer(const Endpoint& control, const std::string& key);

}
