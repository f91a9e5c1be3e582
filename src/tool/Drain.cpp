#include "tool/Commands.h"
#include "tool/FleetCaller.h"

#include <ostream>

namespace parsleypaddle {

ExitCode runDrain(ToolContext& context)
{
    if (context.options.daemons.size() != 1) {
        context.ports.err << "parsleypaddle: drain needs --daemon HOST:PORT exactly once\n";
        return ExitCode::Usage;
    }
    constexpr Milliseconds timeout { 5000 };
    const auto result = callDaemon(context, context.options.daemons.front(), "drain", Json::objectValue, timeout);
    if (!result.ok())
        return fail(context, result.status());
    if (context.options.isJson)
        printJson(context, *result);
    else
        context.ports.out << (*result)["instance"].asString() << " is draining\n";
    return ExitCode::Done;
}

}
