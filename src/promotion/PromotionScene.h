#pragma once

#include "base/VirtualLoop.h"
#include "promotion/Promoter.h"
#include "standins/FakeTargets.h"

#include <map>
#include <set>
#include <string>

namespace parsleypaddle {

/// One daemon of a test: control and promotion of one group, and a writer that writes at a steady pace and counts what
/// was acknowledged.
class SceneDaemon {
public:
    SceneDaemon(VirtualLoop&, FakeTargets&, const GroupConfiguration&, const FailureDomainId&, const PromoterSettings&);
    ~SceneDaemon();

    SceneDaemon(const SceneDaemon&) = delete;
    SceneDaemon& operator=(const SceneDaemon&) = delete;

    void startWriting(Milliseconds interval);
    void stopWriting() { m_isWriting = false; }

    GroupControl& control() { return *m_control; }
    Promoter& promoter() { return *m_promoter; }

    /// Acknowledged requests, and when.
    const std::map<RequestId, Instant>& acknowledged() const { return m_acknowledged; }
    const std::vector<PromotionReport>& reports() const { return m_reports; }

    /// The longest time from `since` on in which nothing was acknowledged.
    Milliseconds longestGap(Instant since) const;

private:
    void writeNext();
    void write();
    void leaveReplacedPrimary(const GroupView&);
    void written(const RequestId&, Term, const absl::StatusOr<TargetReply>&);

    VirtualLoop& m_loop;
    GroupConfiguration m_group;
    FailureDomainId m_domain;
    std::unique_ptr<TargetConnector> m_connector;
    std::unique_ptr<GroupControl> m_control;
    std::unique_ptr<Promoter> m_promoter;
    std::shared_ptr<TargetConnection> m_connection;
    TargetId m_connectedTo;
    bool m_isConnecting { false };
    bool m_isBusy { false };
    bool m_isWriting { false };
    Milliseconds m_interval;
    uint64_t m_writes { 0 };
    std::map<RequestId, Instant> m_acknowledged;
    std::vector<PromotionReport> m_reports;
    std::shared_ptr<int> m_alive { std::make_shared<int>(0) };
};

/// A group of targets, each in a failure domain of its own, with a daemon in each of the first domains.
class PromotionScene {
public:
    PromotionScene(size_t targets, size_t daemons, const FakeTargetSettings&, uint64_t seed = 1, const PromoterSettings& = {});

    TargetId target(size_t n) const { return m_group.targets.at(n).id; }
    FailureDomainId domain(size_t n) const { return m_group.targets.at(n).failureDomain; }
    size_t targetCount() const { return m_group.targets.size(); }

    VirtualLoop& loop() { return m_loop; }
    FakeTargets& targets() { return m_targets; }
    GroupModel& model() { return m_targets.model(m_group.database); }
    SceneDaemon& daemon(size_t n) { return *m_daemons.at(n); }
    size_t daemonCount() const { return m_daemons.size(); }
    void killDaemon(size_t n);

    void startWriting(Milliseconds interval = Milliseconds(5));

    /// Cuts a target off from every daemon and every other target, or joins it again.
    void setCutOff(const TargetId&, bool);

    /// Ends every fault and lets the group settle.
    void heal();

    /// Stops writing, heals, and returns acknowledged requests that did not survive.
    std::set<std::string> lostWrites();

    /// Terms in which more than one target committed or was promoted.
    std::set<uint64_t> termsWithTwoPrimaries();

    size_t promotions();
    /// Terms in which a target was promoted, with the target.
    std::map<uint64_t, TargetId> primaries();

private:
    VirtualLoop m_loop;
    FakeTargets m_targets { m_loop };
    GroupConfiguration m_group;
    std::vector<std::unique_ptr<SceneDaemon>> m_daemons;
    std::map<RequestId, Instant> m_acknowledgedByDead;
};

}
