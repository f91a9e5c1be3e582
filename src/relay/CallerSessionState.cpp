#include "relay/CallerSessionState.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// A connection with more prepared statements than this is reset, which bounds its session's size at the target.
    constexpr size_t maxPreparedStatements = 64;

    RelayStep stepOf(RelayKind kind, std::string name, std::string argument)
    {
        RelayStep step;
        step.kind = kind;
        step.name = std::move(name);
        step.argument = std::move(argument);
        return step;
    }

    /// Whether the connection has a variable that `caller` did not set. Variables can be removed only by a reset.
    bool hasOtherCallersVariable(const CallerSessionState& caller, const TargetImage& target)
    {
        return std::any_of(target.values.begin(), target.values.end(), [&caller](const auto& it) { return caller.values.count(it.first) == 0; });
    }

}

Replay planReplay(const CallerSessionState& caller, const std::string& definition, TargetImage& target)
{
    Replay replay;
    if (hasOtherCallersVariable(caller, target) || target.prepared.size() > maxPreparedStatements) {
        replay.steps.push_back(stepOf(RelayKind::Reset, "", ""));
        target = {};
    }
    for (const auto& [name, value] : caller.values) {
        auto it = target.values.find(name);
        if (it != target.values.end() && it->second == value)
            continue;
        replay.steps.push_back(stepOf(RelayKind::SetValue, name, value));
        target.values[name] = value;
    }
    if (definition.empty())
        return replay;
    auto it = target.prepared.find(definition);
    if (it == target.prepared.end()) {
        it = target.prepared.emplace(definition, "p" + std::to_string(target.prepared.size())).first;
        replay.steps.push_back(stepOf(RelayKind::Prepare, it->second, definition));
    }
    replay.preparedName = it->second;
    return replay;
}

}
