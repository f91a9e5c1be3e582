#include "configuration/Duration.h"
#include "tool/Commands.h"
#include "tool/FleetCaller.h"
#include "tool/TextTable.h"

namespace parsleypaddle {

ExitCode runConfigHistory(ToolContext& context)
{
    constexpr Milliseconds timeout { 5000 };
    const auto result = callAnyDaemon(context, "config.history", Json::objectValue, timeout);
    if (!result.ok())
        return fail(context, result.status());
    if (context.options.isJson) {
        printJson(context, *result);
        return ExitCode::Done;
    }
    TextTable table({ "version", "at", "author", "what changed" });
    for (const auto& it : (*result)["changes"])
        table.add({ it["version"].asString(), formatInstant(Instant(it["at"].asDouble())), it["author"].asString(), it["summary"].asString() });
    table.print(context.ports.out);
    return ExitCode::Done;
}

}
