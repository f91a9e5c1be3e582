#pragma once

#include "base/BrokenRules.h"
#include "baseline/NaiveFleet.h"
#include "fleet/FakeFleet.h"
#include "measure/Deployment.h"

namespace parsleypaddle {

/// What is measured: a fleet of daemons that answers callers.
class Proxy {
public:
    virtual ~Proxy() = default;

    /// A request at a daemon. A dead daemon never answers.
    virtual void handle(size_t daemon, const StatementRequest&, Entry::Done) = 0;
    virtual void kill(size_t daemon) = 0;
    virtual bool isDead(size_t daemon) const = 0;
    /// Nothing passes between a failure domain's daemons and the others.
    virtual void setCut(const FailureDomainId&, bool isCut) = 0;
    /// The platform's list catches up with the daemons that died and the targets that leave.
    virtual void publishList(const std::vector<TargetId>& leavingTargets) = 0;

    /// The daemons' real decisions.
    static std::unique_ptr<Proxy> createProduct(EventLoop&, FakeTargets&, const Deployment&, const BrokenRules&, uint64_t seed);
    static std::unique_ptr<Proxy> createNaive(EventLoop&, FakeTargets&, const Deployment&);
};

}
