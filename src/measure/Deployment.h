#pragma once

#include "configuration/Configuration.h"
#include "standins/FakeTargets.h"

#include <memory>
#include <optional>
#include <string_view>

namespace parsleypaddle {

/// How much one workload class asks, and what its statements take.
struct Traffic {
    ClassConfiguration workload;
    /// Weight among the arrivals of the urgent class, or of all the others.
    double weight { 1 };
    double writeShare { 0 };
    /// Mean run time of a statement at a target.
    Milliseconds runTime;
};

/// One user's fleet as it stands: places, services, and what callers ask of it.
struct Deployment {
    std::string name;
    std::vector<FailureDomainId> domains;
    size_t daemonsPerDomain { 2 };
    /// One way between failure domains, and between callers and daemons.
    Milliseconds domainDelay;
    Milliseconds callerDelay;
    FakeTargetSettings targets;
    std::vector<Traffic> traffic;
    std::shared_ptr<const Configuration> configuration;

    size_t daemons() const { return domains.size() * daemonsPerDomain; }

    /// Statements per second that one target can run.
    double capacityOfTarget() const;
    double meanRunTime() const;

    /// "teranga" or "vizitka"; nullopt for any other name.
    static std::optional<Deployment> find(std::string_view name);
};

}
