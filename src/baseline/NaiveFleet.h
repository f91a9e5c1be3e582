#pragma once

#include "base/EventLoop.h"
#include "standins/FakeTargets.h"
#include "statements/StatementAnswer.h"

#include <functional>
#include <memory>

namespace parsleypaddle {

class NaiveDaemon;

/// The naive version that the product is compared with: everything at the primary that the configuration names first,
/// in order of arrival, with the connections split evenly between daemons, and nothing tried twice.
class NaiveFleet {
public:
    using Done = std::function<void(StatementAnswer)>;

    NaiveFleet(EventLoop&, FakeTargets&, const Configuration&, const std::vector<FailureDomainId>& domains, size_t daemonsPerDomain);
    ~NaiveFleet();

    /// A dead daemon never answers.
    void handle(size_t daemon, const StatementRequest&, const Done&);
    void kill(size_t daemon);
    bool isDead(size_t daemon) const;

private:
    std::vector<std::unique_ptr<NaiveDaemon>> m_daemons;
};

}
