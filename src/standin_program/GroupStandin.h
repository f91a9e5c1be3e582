#pragma once

#include "standin_program/TargetServer.h"

#include <json/value.h>

namespace parsleypaddle {

/// One target as the stand-in's settings declare it.
struct StandinTarget {
    TargetId id;
    /// 0 takes a free port.
    uint16_t port { 0 };
    /// From a commit at the primary until this target holds it, and from there until it has applied it.
    Milliseconds delay { 1 };
    Milliseconds applyLag { 0 };
};

/// A database group as the stand-in's settings declare it. The first target starts as primary.
struct StandinGroup {
    DatabaseId database;
    ServiceSettings service;
    std::vector<StandinTarget> targets;
};

/// All targets of one database group in one process.
class GroupStandin {
public:
    /// TargetUnreachable when a port is taken.
    static absl::StatusOr<std::unique_ptr<GroupStandin>> create(PollLoop&, const StandinGroup&);

    GroupModel& model() { return *m_model; }
    const std::vector<std::unique_ptr<TargetServer>>& targets() const { return m_targets; }
    TargetServer* find(const std::string& target);

    /// Switches a fault: {"target", "fault", "on", and the fault's own fields}; see docs/TARGETS.md.
    absl::Status switchFault(const Json::Value&);

    /// Every target's status, the surviving records and counts of what was committed.
    Json::Value state();

private:
    GroupStandin() = default;

    std::unique_ptr<GroupModel> m_model;
    std::vector<std::unique_ptr<TargetServer>> m_targets;
};

}
