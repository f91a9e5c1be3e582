#include "configuration/ConfigurationDiff.h"
#include "configuration/ConfigurationYaml.h"
#include "tool/ChangeRunner.h"
#include "tool/Commands.h"

#include <ostream>

namespace parsleypaddle {

ExitCode runConfigDiff(ToolContext& context)
{
    const std::string& path = context.arguments[0];
    const auto document = readFile(path);
    if (!document.ok())
        return fail(context, document.status());
    const auto wanted = loadConfiguration(*document, path);
    if (!wanted.ok())
        return fail(context, wanted.status());
    const auto current = fetchConfiguration(context);
    if (!current.ok())
        return fail(context, current.status());
    const auto changes = compareConfigurations(*current, *wanted);
    Json::Value value;
    value["version"] = Json::UInt64(current->version.value());
    value["changes"] = Json::Value(Json::arrayValue);
    for (const auto& it : changes) {
        Json::Value change;
        change["key"] = it.key;
        change["before"] = it.before;
        change["after"] = it.after;
        value["changes"].append(change);
        if (!context.options.isJson)
            context.ports.out << it.describe() << '\n';
    }
    if (context.options.isJson)
        printJson(context, value);
    return changes.empty() ? ExitCode::Done : ExitCode::Different;
}

}
