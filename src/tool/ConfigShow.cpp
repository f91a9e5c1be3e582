#include "configuration/ConfigurationYaml.h"
#include "tool/ChangeRunner.h"
#include "tool/Commands.h"

#include <ostream>

namespace parsleypaddle {

ExitCode runConfigShow(ToolContext& context)
{
    const auto configuration = fetchConfiguration(context);
    if (!configuration.ok())
        return fail(context, configuration.status());
    const std::string document = writeConfiguration(*configuration);
    if (!context.options.isJson) {
        context.ports.out << document;
        return ExitCode::Done;
    }
    Json::Value value;
    value["version"] = Json::UInt64(configuration->version.value());
    value["document"] = document;
    printJson(context, value);
    return ExitCode::Done;
}

}
