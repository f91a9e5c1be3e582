#pragma once

#include "base/EventLoop.h"
#include "standins/GroupModel.h"
#include "targets/TargetConnection.h"

#include <map>
#include <set>

namespace parsleypaddle {

/// How a fake target serves its connections.
struct FakeTargetSettings {
    uint32_t slots { 5 };
    uint32_t connections { 35 };
    Milliseconds connectTime { 10 };
    /// Added to each statement's own run time.
    Milliseconds serviceTime { 0.2 };
    /// One way between a daemon and the target, by whether they share a failure domain.
    Milliseconds nearDelay { 0.2 };
    Milliseconds farDelay { 1.5 };
};

/// Targets of modelled groups behind the TargetConnector port, with faults that tests switch.
class FakeTargets {
public:
    explicit FakeTargets(EventLoop&);
    ~FakeTargets();

    /// Adds every target of a group; the first one starts as primary.
    GroupModel& addGroup(const GroupConfiguration&, const FakeTargetSettings&);

    GroupModel& model(const DatabaseId&);

    /// A connector for a daemon in that failure domain.
    std::unique_ptr<TargetConnector> connectorIn(const FailureDomainId&);

    /// Refuses new connections and loses the open ones.
    void setDown(const TargetId&, bool);
    /// Answers nothing until thawed; what arrived meanwhile then runs.
    void setFrozen(const TargetId&, bool);
    /// Nothing passes between the failure domain's daemons and the target; both ends only see silence.
    void setCut(const FailureDomainId&, const TargetId&, bool);
    /// Open connections go silent for good; new ones work.
    void silenceConnections(const TargetId&);
    /// The next batch of that operation takes effect, and its connection is lost before the answer.
    void loseNextAnswer(const TargetId&, TargetOperation);

    uint32_t openConnections(const TargetId&) const;
    uint32_t mostConnections(const TargetId&) const;

private:
    friend class FakeConnection;
    friend class FakeConnector;
    struct FakeTarget;
    struct Link;

    FakeTarget& find(const TargetId&);
    const FakeTarget& find(const TargetId&) const;
    bool isCut(const Link&) const;
    void arrive(const std::shared_ptr<Link>&, const TargetBatch&);
    void startNext(FakeTarget&);
    void finish(FakeTarget&, const std::shared_ptr<Link>&, const TargetBatch&);
    void answer(const std::shared_ptr<Link>&, absl::StatusOr<TargetReply>);
    void lose(const std::shared_ptr<Link>&);
    void close(const std::shared_ptr<Link>&);

    EventLoop& m_loop;
    std::map<DatabaseId, std::unique_ptr<GroupModel>> m_models;
    std::map<TargetId, std::unique_ptr<FakeTarget>> m_targets;
    std::set<std::pair<FailureDomainId, TargetId>> m_cuts;
};

}
