#pragma once

#include "fleet/FleetConnector.h"
#include "node/Node.h"
#include "standins/FakeTargets.h"

#include <set>

namespace parsleypaddle {

/// How the daemons of a fake fleet are laid out.
struct FakeFleetSettings {
    std::vector<FailureDomainId> domains;
    size_t daemonsPerDomain { 1 };
    /// One way between daemons, by whether they share a failure domain.
    Milliseconds nearDelay { 0.2 };
    Milliseconds farDelay { 1.5 };
    /// Times and limits; self, keys and seed are set for each daemon.
    NodeSettings node;
    uint64_t seed { 1 };
};

/// Several daemons' decisions on one virtual loop, joined by calls in memory: a small fake for tests and measurements.
class FakeFleet {
public:
    FakeFleet(EventLoop&, FakeTargets&, FakeFleetSettings, const std::shared_ptr<const Configuration>&);
    ~FakeFleet();

    size_t size() const { return m_daemons.size(); }
    Node& node(size_t n);
    const FailureDomainId& domainOf(size_t n) const;
    bool isDead(size_t n) const;

    /// The place of an instance in the fleet.
    size_t indexOf(const InstanceId&) const;

    /// A caller's request at a daemon. A dead daemon never answers, a paused one late.
    void handle(size_t n, StatementRequest, Entry::Done);

    void setConfiguration(const std::shared_ptr<const Configuration>&);

    /// Ends a daemon: its connections close and nothing of it runs any more. The platform's list still names it.
    void kill(size_t n);
    /// Stops or resumes a daemon, as a stopped process.
    void setPaused(size_t n, bool);
    /// Nothing passes between daemons of the two failure domains.
    void setCut(const FailureDomainId&, const FailureDomainId&, bool);
    /// Gives every daemon the platform's list: living daemons, and the targets that leave.
    void publishList(const std::vector<TargetId>& leavingTargets = {});

private:
    struct Daemon;
    class Peers;

    bool isCut(const Daemon&, const Daemon&) const;
    Milliseconds delayBetween(const Daemon&, const Daemon&) const;

    EventLoop& m_loop;
    FakeFleetSettings m_settings;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::set<std::pair<FailureDomainId, FailureDomainId>> m_cuts;
};

}
