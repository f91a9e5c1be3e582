#pragma once

#include "platform_ports/PlatformPorts.h"

#include <string>
#include <vector>

namespace parsleypaddle {

/// Statements per second that the instance can run for other daemons, by the processor and the link that it announces.
/// Instances that announce neither have equal capacities.
double capacityOf(const InstanceEntry&);

/// An instance that takes part in a ranking.
struct RankingCandidate {
    const InstanceEntry* entry { nullptr };
    /// Instances that do not answer rank behind those that do.
    bool isSilent { false };
    double capacity { 1 };
};

/// The best `length` candidates for the key by weighted rendezvous hashing. The order is: responsive before silent before leaving
/// instances, then those of the preferred failure domain before the others, then by a hash in which an instance's chance to be
/// first is proportional to its capacity. With equal capacities the order is that of the hashes.
std::vector<InstanceId> rankByCapacity(const std::vector<RankingCandidate>&, const std::string& key, const FailureDomainId& preferred, size_t length);

/// The best `length` candidates for the key, taken from the failure domains in turn, so that as long as no domain runs out of
/// candidates, the numbers of any two domains differ by at most one. The key decides which domain comes first. Responsive instances
/// precede silent ones, and these precede leaving ones. Within a domain the order is that of rankByCapacity().
std::vector<InstanceId> rankByDomain(const std::vector<RankingCandidate>&, const std::string& key, size_t length);

}
