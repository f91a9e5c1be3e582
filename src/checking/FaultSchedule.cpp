#include "checking/FaultSchedule.h"

#include <algorithm>
#include <array>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds applyLag { 150 };
    constexpr Milliseconds listLag { 1500 };
    constexpr std::array<double, 4> replicationDelays { 1, 5, 60, 500 };
    constexpr std::array<TargetOperation, 7> operationsToLose { TargetOperation::Write, TargetOperation::Commit,
        TargetOperation::Settle, TargetOperation::Begin, TargetOperation::Fence, TargetOperation::Promote, TargetOperation::Read };

}

FaultSchedule::FaultSchedule(EventLoop& loop, FakeFleet& fleet, FakeTargets& targets, const GroupConfiguration& group, CallerLoad& load, uint64_t seed)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_targets(targets)
    , m_group(group)
    , m_load(load)
    , m_random(seed)
{
}

void FaultSchedule::inject()
{
    static constexpr std::array<Fault, 14> faults { &FaultSchedule::stopTarget, &FaultSchedule::freezeTarget, &FaultSchedule::freezeTarget,
        &FaultSchedule::cutWay, &FaultSchedule::cutDomain, &FaultSchedule::cutDomain, &FaultSchedule::silenceConnections,
        &FaultSchedule::silenceConnections, &FaultSchedule::loseAnswer, &FaultSchedule::loseAnswer, &FaultSchedule::changeReplication,
        &FaultSchedule::pauseDaemon, &FaultSchedule::killDaemon, &FaultSchedule::leave };
    (this->*faults.at(m_random() % faults.size()))();
}

bool FaultSchedule::begins()
{
    return m_random() % 3 != 0;
}

TargetId FaultSchedule::chooseTarget()
{
    const TargetId primary = m_fleet.node(m_random() % m_fleet.size()).view(m_group.database).primary;
    const TargetId any = m_group.targets[m_random() % m_group.targets.size()].id;
    return m_random() % 2 == 0 || primary.isEmpty() ? any : primary;
}

void FaultSchedule::stopTarget()
{
    m_targets.setDown(chooseTarget(), begins());
}

void FaultSchedule::freezeTarget()
{
    m_targets.setFrozen(chooseTarget(), begins());
}

void FaultSchedule::cutWay()
{
    m_targets.setCut(m_group.targets[m_random() % m_group.targets.size()].failureDomain, chooseTarget(), begins());
}

void FaultSchedule::cutDomain()
{
    setDomainCut(m_group.targets[m_random() % m_group.targets.size()].failureDomain, begins());
}

// The domain goes on within itself: its daemons still reach its targets.
void FaultSchedule::setDomainCut(const FailureDomainId& domain, bool isCut)
{
    for (const auto& it : m_group.targets) {
        if (it.failureDomain == domain) {
            m_targets.model(m_group.database).setIsolated(it.id, isCut);
            continue;
        }
        m_fleet.setCut(domain, it.failureDomain, isCut);
        m_targets.setCut(domain, it.id, isCut);
        for (const auto& own : m_group.targets) {
            if (own.failureDomain == domain)
                m_targets.setCut(it.failureDomain, own.id, isCut);
        }
    }
}

void FaultSchedule::silenceConnections()
{
    m_targets.silenceConnections(chooseTarget());
}

void FaultSchedule::loseAnswer()
{
    m_targets.loseNextAnswer(chooseTarget(), operationsToLose.at(m_random() % operationsToLose.size()));
}

void FaultSchedule::changeReplication()
{
    const double delay = replicationDelays.at(m_random() % replicationDelays.size());
    const double lag = replicationDelays.at(m_random() % replicationDelays.size());
    m_targets.model(m_group.database).setReplication(chooseTarget(), Milliseconds(delay), Milliseconds(lag));
}

void FaultSchedule::letReplicasLag()
{
    for (const auto& it : m_group.targets)
        m_targets.model(m_group.database).setReplication(it.id, Milliseconds(1), applyLag);
}

void FaultSchedule::pauseDaemon()
{
    const size_t n = m_random() % m_fleet.size();
    if (m_fleet.isDead(n))
        return;
    const bool isPaused = begins();
    m_fleet.setPaused(n, isPaused);
    m_load.noteStopped(n, isPaused);
}

void FaultSchedule::killDaemon()
{
    const size_t n = m_random() % m_fleet.size();
    if (m_fleet.isDead(n) || m_killed >= m_fleet.size() / 3)
        return;
    ++m_killed;
    m_fleet.kill(n);
    m_load.noteStopped(n, true);
    publishListLater();
}

void FaultSchedule::leave()
{
    if (!m_leaving.empty()) {
        setLeaving(m_leaving.front(), false);
        return;
    }
    setLeaving(chooseTarget(), true);
}

// The list lags behind the target's own word.
void FaultSchedule::setLeaving(const TargetId& target, bool isLeaving)
{
    m_targets.model(m_group.database).setLeaving(target, isLeaving);
    m_leaving.clear();
    if (isLeaving) {
        m_leaving.push_back(target);
        m_load.history().leavingSince[target] = m_loop.now();
    }
    publishListLater();
}

void FaultSchedule::publishListLater()
{
    m_loop.after(listLag, [this] { m_fleet.publishList(m_leaving); });
}

void FaultSchedule::heal()
{
    if (!m_leaving.empty())
        setLeaving(m_leaving.front(), false);
    for (const auto& it : m_group.targets) {
        setDomainCut(it.failureDomain, false);
        for (const auto& other : m_group.targets)
            m_targets.setCut(other.failureDomain, it.id, false);
        m_targets.setFrozen(it.id, false);
        m_targets.setDown(it.id, false);
        m_targets.model(m_group.database).setReplication(it.id, Milliseconds(1), Milliseconds(0));
    }
    for (size_t n = 0; n < m_fleet.size(); ++n) {
        if (m_fleet.isDead(n))
            continue;
        m_fleet.setPaused(n, false);
        m_load.noteStopped(n, false);
    }
}

}
