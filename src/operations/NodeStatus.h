#pragma once

#include "configuration/ConfigurationStore.h"
#include "node/Node.h"
#include "operations/DaemonStatus.h"

namespace parsleypaddle {

/// Returns the status of a running daemon, from its node's view of the groups and daemons and the version in force.
DaemonStatus collectDaemonStatus(Node&, const ConfigurationStore&, Instant now);

}
