#include "relay/CallerSessionState.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// The session of a connection with more prepared statements than this is reset, which bounds its size at the target.
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
    bool hasOtherCallersVariable(const CallerSessionState& caller, const TargetSessionState& session)
    {
        return std::any_of(session.values.begin(), session.values.end(), [&caller](const auto& it) { return caller.values.count(it.first) == 0; });
    }

}

SessionSetup planSessionSetup(const CallerSessionState& caller, const std::string& definition, TargetSessionState& session)
{
    SessionSetup setup;
    if (hasOtherCallersVariable(caller, session) || session.prepared.size() > maxPreparedStatements) {
        setup.steps.push_back(stepOf(RelayKind::Reset, "", ""));
        session = {};
    }
    for (const auto& [name, value] : caller.values) {
        auto it = session.values.find(name);
        if (it != session.values.end() && it->second == value)
            continue;
        setup.steps.push_back(stepOf(RelayKind::SetValue, name, value));
        session.values[name] = value;
    }
    if (definition.empty())
        return setup;
    auto it = session.prepared.find(definition);
    if (it == session.prepared.end()) {
        it = session.prepared.emplace(definition, "p" + std::to_string(session.prepared.size())).first;
        setup.steps.push_back(stepOf(RelayKind::Prepare, it->second, definition));
    }
    setup.preparedName = it->second;
    return setup;
}

}
