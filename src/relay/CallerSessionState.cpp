#include "relay/CallerSessionState.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// Prepared statements that a connection keeps, which bounds its memory at the target. Beyond them the one that was not executed for the
    /// longest time is dropped.
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
    bool hasOtherCallersVariable(const CallerSessionState& caller, const TargetSession& session)
    {
        return std::any_of(session.variables().begin(), session.variables().end(), [&caller](const auto& it) { return caller.values.count(it.first) == 0; });
    }

}

SessionSetup planSessionSetup(const CallerSessionState& caller, const std::string& definition, const TargetSession& session)
{
    SessionSetup setup;
    const bool beginsAnew = hasOtherCallersVariable(caller, session);
    if (beginsAnew)
        setup.steps.push_back(stepOf(RelayKind::Reset, "", ""));
    for (const auto& [name, value] : caller.values) {
        const auto it = session.variables().find(name);
        if (beginsAnew || it == session.variables().end() || it->second != value)
            setup.steps.push_back(stepOf(RelayKind::SetValue, name, value));
    }
    if (definition.empty())
        return setup;
    const std::string* prepared = beginsAnew ? nullptr : session.findPrepared(definition);
    setup.preparedName = prepared ? *prepared : session.unusedName();
    if (prepared)
        return setup;
    if (!beginsAnew && session.preparedCount() >= maxPreparedStatements)
        setup.steps.push_back(stepOf(RelayKind::Deallocate, *session.leastRecentlyExecuted(), ""));
    setup.steps.push_back(stepOf(RelayKind::Prepare, setup.preparedName, definition));
    return setup;
}

}
