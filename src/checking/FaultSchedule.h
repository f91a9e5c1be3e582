#pragma once

#include "checking/CallerLoad.h"

namespace parsleypaddle {

/// Random faults of targets, daemons and the ways between them, several at a time.
class FaultSchedule {
public:
    FaultSchedule(EventLoop&, FakeFleet&, FakeTargets&, const GroupConfiguration&, CallerLoad&, uint64_t seed);

    /// Begins or ends one random fault.
    void inject();

    /// Cuts the first primary's failure domain off, as the start of a schedule.
    void cutOffFirstPrimary() { setDomainCut(m_group.targets.front().failureDomain, true); }

    /// Lets replicas take the log soon and apply it late, as another start.
    void letReplicasLag();

    /// Tells a replica to leave, as a third start.
    void letReplicaLeave() { setLeaving(m_group.targets.back().id, true); }

    /// Ends every fault that can end. Dead daemons stay dead.
    void heal();

private:
    using Fault = void (FaultSchedule::*)();

    void stopTarget();
    void freezeTarget();
    void cutWay();
    void cutDomain();
    void silenceConnections();
    void loseAnswer();
    void changeReplication();
    void pauseDaemon();
    void killDaemon();
    void leave();

    bool begins();
    TargetId chooseTarget();
    void setDomainCut(const FailureDomainId&, bool isCut);
    void setLeaving(const TargetId&, bool isLeaving);
    void publishListLater();

    EventLoop& m_loop;
    FakeFleet& m_fleet;
    FakeTargets& m_targets;
    GroupConfiguration m_group;
    CallerLoad& m_load;
    std::mt19937_64 m_random;
    std::vector<TargetId> m_leaving;
    size_t m_killed { 0 };
};

}
