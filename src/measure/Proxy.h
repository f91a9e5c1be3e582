#pragma once

#include "base/BrokenRules.h"
#include "base/VirtualLoop.h"
#include "measure/Deployment.h"
#include "statements/StatementAnswer.h"

#include <functional>

namespace parsleypaddle {

/// What is measured: a fleet of daemons that answers callers.
class Proxy {
public:
    using Done = std::function<void(StatementAnswer)>;

    virtual ~Proxy() = default;

    /// A request at a daemon. A dead daemon never answers.
    virtual void handle(size_t daemon, const StatementRequest&, Done) = 0;
    virtual void kill(size_t daemon) = 0;
    virtual bool isDead(size_t daemon) const = 0;
    /// Nothing passes between a failure domain's daemons and the others.
    virtual void setCut(const FailureDomainId&, bool isCut) = 0;
    /// The platform's list catches up with the daemons that died and the targets that leave.
    virtual void publishList(const std::vector<TargetId>& leavingTargets) = 0;
};

/// The product: the daemons' real decisions.
std::unique_ptr<Proxy> createProduct(VirtualLoop&, FakeTargets&, const Deployment&, const BrokenRules&, uint64_t seed);

/// The naive version: everything at the primary that the configuration names first, in order of arrival, with the
/// connections split evenly between daemons, and nothing tried twice.
std::unique_ptr<Proxy> createNaive(VirtualLoop&, FakeTargets&, const Deployment&);

}
