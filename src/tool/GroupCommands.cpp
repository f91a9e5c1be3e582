#include "tool/ChangeRunner.h"
#include "tool/Commands.h"
#include "tool/TextTable.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <limits>

namespace parsleypaddle {

namespace {

    absl::StatusOr<TargetConfiguration> targetFrom(const std::string& text)
    {
        const auto fault = makeError(ResultCode::ConfigurationInvalid, "--target: \"" + text + "\", expected ID=HOST:PORT@FAILURE-DOMAIN");
        const size_t equals = text.find('=');
        const size_t at = text.find('@');
        const size_t colon = text.rfind(':', at);
        if (equals == std::string::npos || at == std::string::npos || colon == std::string::npos || colon < equals || at < colon)
            return fault;
        uint32_t port = 0;
        if (!absl::SimpleAtoi(text.substr(colon + 1, at - colon - 1), &port) || port == 0 || port > std::numeric_limits<uint16_t>::max())
            return fault;
        const std::string host = text.substr(equals + 1, colon - equals - 1);
        return TargetConfiguration { TargetId(text.substr(0, equals)), { host, static_cast<uint16_t>(port) }, FailureDomainId(text.substr(at + 1)) };
    }

    absl::StatusOr<uint32_t> countFrom(const char* option, const std::string& text)
    {
        uint32_t count = 0;
        if (!absl::SimpleAtoi(text, &count))
            return makeError(ResultCode::ConfigurationInvalid, std::string("--") + option + ": \"" + text + "\", expected a whole number");
        return count;
    }

    absl::StatusOr<GroupConfiguration> groupFrom(const std::string& database, const ToolOptions& options)
    {
        GroupConfiguration group;
        group.database = DatabaseId(database);
        const auto slots = countFrom("slots", options.slots);
        if (!slots.ok())
            return slots.status();
        const auto connections = countFrom("connections", options.connections);
        if (!connections.ok())
            return connections.status();
        group.slots = *slots;
        group.connections = *connections;
        for (const auto& it : options.targets) {
            const auto target = targetFrom(it);
            if (!target.ok())
                return target.status();
            group.targets.push_back(*target);
        }
        return group;
    }

    Json::Value toJson(const GroupConfiguration& group)
    {
        Json::Value value;
        value["database"] = group.database.value();
        value["slots"] = group.slots;
        value["connections"] = group.connections;
        value["targets"] = Json::Value(Json::arrayValue);
        for (const auto& it : group.targets) {
            Json::Value target;
            target["id"] = it.id.value();
            target["host"] = it.address.host;
            target["port"] = it.address.port;
            target["failure_domain"] = it.failureDomain.value();
            value["targets"].append(target);
        }
        return value;
    }

}

ExitCode runGroupAdd(ToolContext& context)
{
    const auto group = groupFrom(context.arguments[0], context.options);
    if (!group.ok())
        return fail(context, group.status());
    return changeConfiguration(context, [&group](Configuration& configuration) {
        configuration.groups.push_back(*group);
        return absl::OkStatus();
    });
}

ExitCode runGroupRemove(ToolContext& context)
{
    return changeConfiguration(context, [&name = context.arguments[0]](Configuration& configuration) {
        auto& groups = configuration.groups;
        const auto removed = std::remove_if(groups.begin(), groups.end(), [&name](const GroupConfiguration& it) { return it.database.value() == name; });
        if (removed == groups.end())
            return makeError(ResultCode::UnknownResource, "no group " + name);
        groups.erase(removed, groups.end());
        return absl::OkStatus();
    });
}

ExitCode runGroupList(ToolContext& context)
{
    const auto configuration = fetchConfiguration(context);
    if (!configuration.ok())
        return fail(context, configuration.status());
    Json::Value list(Json::arrayValue);
    TextTable table({ "database", "slots", "connections", "target", "address", "failure domain" });
    for (const auto& group : configuration->groups) {
        list.append(toJson(group));
        for (const auto& it : group.targets)
            table.add({ group.database.value(), std::to_string(group.slots), std::to_string(group.connections), it.id.value(), it.address.host + ":" + std::to_string(it.address.port), it.failureDomain.value() });
    }
    if (context.options.isJson)
        printJson(context, list);
    else
        table.print(context.ports.out);
    return ExitCode::Done;
}

}
