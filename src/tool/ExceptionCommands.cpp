#include "configuration/Duration.h"
#include "configuration/PolicySettings.h"
#include "tool/ChangeRunner.h"
#include "tool/Commands.h"
#include "tool/TextTable.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    absl::StatusOr<PolicyException> exceptionFrom(const ToolOptions& options)
    {
        const auto* setting = findPolicySetting(options.setting);
        if (!setting)
            return makeError(ResultCode::ConfigurationInvalid, "--setting: \"" + options.setting + "\" is no setting of the defaults");
        if (options.reason.empty())
            return makeError(ResultCode::ReasonMissing, "--reason: an exception needs a written reason");
        PolicyException exception;
        exception.id = options.id;
        exception.scope = { DatabaseId(options.database), OrganisationId(options.organisation), ClassName(options.workload) };
        exception.setting = setting->setting;
        exception.value = options.value;
        exception.reason = options.reason;
        exception.author = options.author;
        if (options.until.empty())
            return exception;
        exception.until = parseInstant(options.until);
        if (!exception.until)
            return makeError(ResultCode::ConfigurationInvalid, "--until: \"" + options.until + "\", expected a UTC time such as 2026-12-31T23:59:59Z");
        return exception;
    }

    Json::Value toJson(const PolicyException& exception, bool hasEnded)
    {
        Json::Value value;
        value["id"] = exception.id;
        value["database"] = exception.scope.database.value();
        value["shop"] = exception.scope.organisation.value();
        value["class"] = exception.scope.workload.value();
        value["setting"] = policySettingInfo(exception.setting).name;
        value["value"] = exception.value;
        value["reason"] = exception.reason;
        value["author"] = exception.author;
        value["until"] = exception.until ? formatInstant(*exception.until) : "";
        value["ended"] = hasEnded;
        return value;
    }

    std::string scopeOf(const PolicyException& exception)
    {
        std::string scope;
        const auto add = [&scope](const char* kind, const std::string& id) {
            if (!id.empty())
                scope += (scope.empty() ? "" : ", ") + std::string(kind) + " " + id;
        };
        add("database", exception.scope.database.value());
        add("shop", exception.scope.organisation.value());
        add("class", exception.scope.workload.value());
        return scope;
    }

}

ExitCode runExceptionAdd(ToolContext& context)
{
    const auto exception = exceptionFrom(context.options);
    if (!exception.ok())
        return fail(context, exception.status());
    return changeConfiguration(context, [&exception](Configuration& configuration) {
        configuration.exceptions.push_back(*exception);
        return absl::OkStatus();
    });
}

ExitCode runExceptionRemove(ToolContext& context)
{
    return changeConfiguration(context, [&id = context.arguments[0]](Configuration& configuration) {
        auto& exceptions = configuration.exceptions;
        const auto removed = std::remove_if(exceptions.begin(), exceptions.end(), [&id](const PolicyException& it) { return it.id == id; });
        if (removed == exceptions.end())
            return makeError(ResultCode::UnknownResource, "no exception " + id);
        exceptions.erase(removed, exceptions.end());
        return absl::OkStatus();
    });
}

ExitCode runExceptionList(ToolContext& context)
{
    const auto configuration = fetchConfiguration(context);
    if (!configuration.ok())
        return fail(context, configuration.status());
    const Instant now = context.ports.now();
    Json::Value list(Json::arrayValue);
    TextTable table({ "id", "scope", "setting", "value", "until", "author", "reason" });
    for (const auto& it : configuration->exceptions) {
        const bool hasEnded = it.until && *it.until <= now;
        list.append(toJson(it, hasEnded));
        const std::string until = it.until ? formatInstant(*it.until) + (hasEnded ? " (ended)" : "") : "removed";
        table.add({ it.id, scopeOf(it), policySettingInfo(it.setting).name, it.value, until, it.author, it.reason });
    }
    if (context.options.isJson)
        printJson(context, list);
    else
        table.print(context.ports.out);
    return ExitCode::Done;
}

}
