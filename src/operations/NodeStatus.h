#pragma once

#include "configuration/ConfigurationStore.h"
#include "node/Node.h"
#include "operations/DaemonStatus.h"

namespace parsleypaddle {

/// The report of a running daemon: what its node sees of groups and other daemons, and the version in force.
DaemonStatus describeNode(Node&, const ConfigurationStore&, Instant now);

}
