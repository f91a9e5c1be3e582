#pragma once

#include "base/Ids.h"
#include "configuration/Configuration.h"

#include <optional>
#include <vector>

namespace parsleypaddle {

/// A daemon that holds a valid row of the lease table, as last read.
struct QuotaHolder {
    InstanceId instance;
    FailureDomainId domain;
    /// Of its datagram port.
    TargetAddress address;
};

/// The holders of one failure domain in the order in which they become its coordinator: by rendezvous hash of a fixed key.
std::vector<QuotaHolder> rankedQuotaHolders(const std::vector<QuotaHolder>&, const FailureDomainId&);

}
