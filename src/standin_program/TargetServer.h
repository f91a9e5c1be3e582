#pragma once

#include "standin_program/PipelineBatch.h"
#include "standin_program/WireSession.h"

#include <Poco/Net/ServerSocket.h>
#include <memory>
#include <set>

namespace parsleypaddle {

/// How a target of the stand-in serves its connections.
struct ServiceSettings {
    /// IP number to listen at; 0.0.0.0 answers at every loopback address, so that one group can stand for many.
    std::string host { "127.0.0.1" };
    uint32_t slots { 5 };
    uint32_t connections { 35 };
    Milliseconds connectTime { 10 };
    /// Added to each statement's own run time.
    Milliseconds serviceTime { 0.2 };
};

/// One target of a modelled group, listening for PostgreSQL v3 on loopback, with faults that are switched from outside.
class TargetServer final : public WireSessionOwner {
public:
    /// Listens on `port`; 0 takes a free one. TargetUnreachable when it cannot.
    static absl::StatusOr<std::unique_ptr<TargetServer>> create(PollLoop&, GroupModel&, TargetId, uint16_t port, const ServiceSettings&);
    ~TargetServer() override;

    const TargetId& id() const { return m_id; }
    uint16_t port() const { return m_port; }
    size_t openConnections() const { return m_sessions.size(); }

    /// Refuses new connections, loses the open ones and takes no log.
    void setDown(bool);
    /// Answers nothing until thawed; what arrived meanwhile then runs.
    void setFrozen(bool);
    /// Nothing passes to or from clients whose application name starts with `clients`; an empty one cuts off the log too.
    void setCut(const std::string& clients, bool);
    /// Open connections go silent for good; new ones work.
    void silenceConnections();
    /// The next batch of that operation takes effect, and its connection is lost before the answer.
    void loseNextAnswer(TargetOperation operation) { m_answerToLose = operation; }

    void introduced(WireSession&) override;
    void submitted(WireSession&, const Pipeline&) override;
    void closed(WireSession&) override;

private:
    struct WorkItem {
        uint64_t session { 0 };
        absl::StatusOr<PipelineBatch> batch;
    };

    TargetServer(PollLoop&, GroupModel&, TargetId, const ServiceSettings&);

    void listen(uint16_t port);
    void stopListening();
    void acceptSession();
    WireSession* findSession(uint64_t id);
    bool isCut(const WireSession&) const;
    void startNext();
    void finish(const WorkItem&);
    PipelineResult execute(const WorkItem&, WireSession*);

    PollLoop& m_loop;
    GroupModel& m_model;
    TargetId m_id;
    ServiceSettings m_settings;
    Poco::Net::ServerSocket m_listener;
    uint16_t m_port { 0 };
    bool m_isDown { false };
    bool m_isFrozen { false };
    std::set<std::string> m_cuts;
    uint64_t m_lastSession { 0 };
    uint64_t m_lastUnguarded { 0 };
    std::map<uint64_t, std::unique_ptr<WireSession>> m_sessions;
    std::deque<WorkItem> m_waiting;
    uint32_t m_running { 0 };
    std::optional<TargetOperation> m_answerToLose;
    /// Guards the timers that may outlive this server.
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

}
