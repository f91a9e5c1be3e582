#pragma once

#include "base/VirtualLoop.h"
#include "promotion/Promoter.h"
#include "standins/FakeTargets.h"

#include <map>
#include <set>
#include <string>

namespace parsleypaddle {

/// One daemon of a test: the GroupControl and Promoter of one group, and a client that writes at a fixed interval and
/// records the acknowledged requests.
class TestDaemon {
public:
    TestDaemon(VirtualLoop&, FakeTargets&, const GroupConfiguration&, const FailureDomainId&, const PromoterSettings&);
    ~TestDaemon();

    TestDaemon(const TestDaemon&) = delete;
    TestDaemon& operator=(const TestDaemon&) = delete;

    void startWriting(Milliseconds interval);
    void stopWriting() { m_isWriting = false; }

    GroupControl& control() { return *m_control; }
    Promoter& promoter() { return *m_promoter; }

    /// Acknowledged requests, with the time of each acknowledgement.
    const std::map<RequestId, Instant>& acknowledged() const { return m_acknowledged; }
    const std::vector<PromotionReport>& reports() const { return m_reports; }

    /// The longest time after `since` without an acknowledged write.
    Milliseconds longestGap(Instant since) const;

private:
    void writeNext();
    void write();
    void disconnectFromReplacedPrimary(const GroupView&);
    void writeAnswered(const RequestId&, Term, const absl::StatusOr<TargetReply>&);

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

/// A group of targets and at most as many daemons. Target n and daemon n are in failure domain n, which no other target or
/// daemon shares.
class PromotionFixture {
public:
    PromotionFixture(size_t targets, size_t daemons, const FakeTargetSettings&, uint64_t seed = 1, const PromoterSettings& = {});

    TargetId target(size_t n) const { return m_group.targets.at(n).id; }
    FailureDomainId domain(size_t n) const { return m_group.targets.at(n).failureDomain; }
    size_t targetCount() const { return m_group.targets.size(); }

    VirtualLoop& loop() { return m_loop; }
    FakeTargets& targets() { return m_targets; }
    GroupModel& model() { return m_targets.model(m_group.database); }
    TestDaemon& daemon(size_t n) { return *m_daemons.at(n); }
    size_t daemonCount() const { return m_daemons.size(); }
    /// Destroys a daemon; the daemons after it move down by one index.
    void killDaemon(size_t n);

    void startWriting(Milliseconds interval = Milliseconds(5));

    /// Disconnects a target from every daemon and every other target, or connects it again.
    void setPartitioned(const TargetId&, bool);

    /// Ends all partitions, freezes and crashes, and gives the group time to recover.
    void clearFaults();

    /// Calls clearFaults(), stops writing, and returns the acknowledged requests that the surviving log lacks.
    std::set<std::string> lostWrites();

    /// Terms in which more than one target committed or was promoted.
    std::set<uint64_t> termsWithTwoPrimaries();

    /// The number of terms at which a target was promoted.
    size_t promotions();
    /// The promoted target by term; the last one if several were promoted at a term.
    std::map<uint64_t, TargetId> promotedTargets();

private:
    VirtualLoop m_loop;
    FakeTargets m_targets { m_loop };
    GroupConfiguration m_group;
    std::vector<std::unique_ptr<TestDaemon>> m_daemons;
    std::map<RequestId, Instant> m_acknowledgedByKilled;
};

}
