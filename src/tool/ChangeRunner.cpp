#include "tool/ChangeRunner.h"

#include "configuration/ConfigurationYaml.h"
#include "tool/FleetCaller.h"

#include <algorithm>
#include <cstdlib>
#include <ostream>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds readTimeout { 5000 };
    // Longer than a daemon tries to settle a lost answer.
    constexpr Milliseconds applyTimeout { 40'000 };
    constexpr Milliseconds pauseBetweenLooks { 200 };

    std::string authorOf(const ToolOptions& options)
    {
        if (!options.author.empty())
            return options.author;
        const char* author = std::getenv("PARSLEYPADDLE_AUTHOR"); // NOLINT(concurrency-mt-unsafe)
        return author ? author : "";
    }

    bool isInForce(const FleetMember& member, ConfigurationVersion version)
    {
        return member.status.ok() && member.status->version >= version;
    }

    std::string nameOf(const FleetMember& member)
    {
        return member.instance.isEmpty() ? member.address.host + ":" + std::to_string(member.address.port) : member.instance.value();
    }

    size_t countInForce(const std::vector<FleetMember>& members, ConfigurationVersion version)
    {
        return static_cast<size_t>(std::count_if(members.begin(), members.end(), [version](const FleetMember& it) { return isInForce(it, version); }));
    }

    void printReached(ToolContext& context, ConfigurationVersion version, const std::vector<FleetMember>& members)
    {
        if (!context.options.isJson) {
            context.ports.out << "version " << version.value() << " is in force on " << countInForce(members, version) << " of " << members.size() << " daemons\n";
            for (const auto& it : members) {
                if (!isInForce(it, version))
                    context.ports.out << "not reached: " << nameOf(it) << '\n';
            }
            return;
        }
        Json::Value value;
        value["version"] = Json::UInt64(version.value());
        value["in_force"] = Json::Value(Json::arrayValue);
        value["not_reached"] = Json::Value(Json::arrayValue);
        for (const auto& it : members)
            value[isInForce(it, version) ? "in_force" : "not_reached"].append(nameOf(it));
        printJson(context, value);
    }

    ExitCode waitUntilInForce(ToolContext& context, ConfigurationVersion version)
    {
        const Instant deadline = context.ports.now() + context.options.timeout;
        auto members = findFleet(context);
        if (!members.ok())
            return fail(context, members.status());
        size_t shown = 0;
        while (true) {
            const size_t count = countInForce(*members, version);
            if (count != shown)
                context.ports.err << "version " << version.value() << ": in force on " << count << " of " << members->size() << " daemons\n";
            shown = count;
            if (count == members->size() || context.ports.now() >= deadline)
                break;
            context.ports.pause(pauseBetweenLooks);
            refreshFleet(context, *members);
        }
        printReached(context, version, *members);
        return shown == members->size() ? ExitCode::Done : ExitCode::NotEverywhere;
    }

}

ExitCode applyAndWait(ToolContext& context, ConfigurationVersion base, const std::string& document)
{
    Json::Value parameters;
    parameters["base"] = Json::UInt64(base.value());
    parameters["document"] = document;
    parameters["author"] = authorOf(context.options);
    if (parameters["author"].asString().empty())
        return fail(context, makeError(ResultCode::MissingField, "a change needs --author NAME"));
    const auto result = callAnyDaemon(context, "config.apply", parameters, applyTimeout, true);
    if (!result.ok())
        return fail(context, result.status());
    return waitUntilInForce(context, ConfigurationVersion((*result)["version"].asUInt64()));
}

absl::StatusOr<Configuration> fetchConfiguration(ToolContext& context)
{
    const auto result = callAnyDaemon(context, "config.show", Json::objectValue, readTimeout);
    if (!result.ok())
        return result.status();
    return loadConfiguration((*result)["document"].asString(), "in force");
}

ExitCode changeConfiguration(ToolContext& context, const std::function<absl::Status(Configuration&)>& change)
{
    auto configuration = fetchConfiguration(context);
    if (!configuration.ok())
        return fail(context, configuration.status());
    const auto status = change(*configuration);
    if (!status.ok())
        return fail(context, status);
    return applyAndWait(context, configuration->version, writeConfiguration(*configuration));
}

}
