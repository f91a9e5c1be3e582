#include "standin_program/GroupStandin.h"

#include "base/ResultCode.h"

#include <algorithm>
#include <array>
#include <map>

namespace parsleypaddle {

namespace {

    struct Fault {
        GroupModel& model;
        TargetServer& target;
        const Json::Value& fields;

        bool isOn() const { return fields.get("on", true).asBool(); }
        Milliseconds milliseconds(const char* name) const { return Milliseconds(fields.get(name, 0).asDouble()); }
    };

    struct OperationName {
        std::string_view name;
        TargetOperation operation;
    };

    constexpr std::array<OperationName, 10> operationNames { {
        { "status", TargetOperation::Status },
        { "fence", TargetOperation::Fence },
        { "promote", TargetOperation::Promote },
        { "read", TargetOperation::Read },
        { "write", TargetOperation::Write },
        { "begin", TargetOperation::Begin },
        { "continue", TargetOperation::Continue },
        { "commit", TargetOperation::Commit },
        { "rollback", TargetOperation::Rollback },
        { "settle", TargetOperation::Settle },
    } };

    absl::Status loseAnswer(const Fault& fault)
    {
        const std::string name = fault.fields.get("operation", "write").asString();
        const auto it = std::find_if(operationNames.begin(), operationNames.end(), [&](const auto& entry) { return entry.name == name; });
        if (it == operationNames.end())
            return makeError(ResultCode::ValueOutOfRange, "unknown operation " + name);
        fault.target.loseNextAnswer(it->operation);
        return absl::OkStatus();
    }

    absl::Status setDown(const Fault& fault)
    {
        fault.target.setDown(fault.isOn());
        return absl::OkStatus();
    }

    absl::Status setFrozen(const Fault& fault)
    {
        fault.target.setFrozen(fault.isOn());
        return absl::OkStatus();
    }

    absl::Status setCut(const Fault& fault)
    {
        fault.target.setCut(fault.fields.get("clients", "").asString(), fault.isOn());
        return absl::OkStatus();
    }

    absl::Status silence(const Fault& fault)
    {
        fault.target.silenceConnections();
        return absl::OkStatus();
    }

    absl::Status setLeaving(const Fault& fault)
    {
        fault.model.setLeaving(fault.target.id(), fault.isOn());
        return absl::OkStatus();
    }

    absl::Status setLag(const Fault& fault)
    {
        fault.model.setReplication(fault.target.id(), fault.milliseconds("delay_ms"), fault.milliseconds("apply_lag_ms"));
        return absl::OkStatus();
    }

    struct FaultSwitch {
        std::string_view name;
        absl::Status (*apply)(const Fault&);
    };

    constexpr std::array<FaultSwitch, 7> faultSwitches { {
        { "down", setDown },
        { "freeze", setFrozen },
        { "cut", setCut },
        { "silence", silence },
        { "lose-answer", loseAnswer },
        { "leaving", setLeaving },
        { "lag", setLag },
    } };

    Json::Value stateOf(const TargetServer& target, const TargetStatus& status)
    {
        Json::Value state;
        state["target"] = target.id().value();
        state["port"] = target.port();
        state["connections"] = Json::UInt64(target.openConnections());
        state["role"] = status.role == TargetRole::Primary ? "primary" : "replica";
        state["term"] = Json::UInt64(status.term.value());
        state["log_term"] = Json::UInt64(status.logTerm.value());
        state["position"] = Json::UInt64(status.position.value());
        state["applied"] = Json::UInt64(status.applied.value());
        state["age_ms"] = status.age.count();
        state["leaving"] = status.isLeaving;
        return state;
    }

    /// How often each request is in the surviving log; more than once is a doubled write.
    std::map<std::string, uint64_t> survivingRequests(GroupModel& model)
    {
        std::map<std::string, uint64_t> counts;
        for (const auto& commit : model.survivingLog()) {
            for (const auto& entry : commit.ledger) {
                if (!entry.isTombstone)
                    ++counts[entry.key.request.value()];
            }
        }
        return counts;
    }

}

absl::StatusOr<std::unique_ptr<GroupStandin>> GroupStandin::create(PollLoop& loop, const StandinGroup& group)
{
    std::unique_ptr<GroupStandin> standin(new GroupStandin);
    std::vector<TargetId> ids;
    for (const auto& it : group.targets)
        ids.push_back(it.id);
    standin->m_model = std::make_unique<GroupModel>(loop, group.database, ids);
    for (const auto& it : group.targets) {
        standin->m_model->setReplication(it.id, it.delay, it.applyLag);
        auto target = TargetServer::create(loop, *standin->m_model, it.id, it.port, group.service);
        if (!target.ok())
            return target.status();
        standin->m_targets.push_back(std::move(*target));
    }
    return standin;
}

TargetServer* GroupStandin::find(const std::string& target)
{
    for (const auto& it : m_targets) {
        if (it->id().value() == target)
            return it.get();
    }
    return nullptr;
}

absl::Status GroupStandin::switchFault(const Json::Value& fields)
{
    if (!fields.isObject())
        return makeError(ResultCode::MalformedInput, "a fault is a JSON object");
    TargetServer* target = find(fields.get("target", "").asString());
    if (!target)
        return makeError(ResultCode::UnknownResource, "unknown target");
    const std::string name = fields.get("fault", "").asString();
    const auto it = std::find_if(faultSwitches.begin(), faultSwitches.end(), [&](const FaultSwitch& entry) { return entry.name == name; });
    if (it == faultSwitches.end())
        return makeError(ResultCode::UnknownResource, "unknown fault " + name);
    return it->apply({ *m_model, *target, fields });
}

Json::Value GroupStandin::state()
{
    Json::Value state;
    for (const auto& it : m_targets)
        state["targets"].append(stateOf(*it, m_model->statusOf(it->id())));
    state["records"] = Json::objectValue;
    for (const auto& [key, value] : m_model->survivingRecords())
        state["records"][key] = value;
    state["requests"] = Json::objectValue;
    for (const auto& [request, count] : survivingRequests(*m_model))
        state["requests"][request] = Json::UInt64(count);
    state["batches"] = Json::UInt64(m_model->history().size());
    return state;
}

}
