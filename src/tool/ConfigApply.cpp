#include "configuration/ConfigurationYaml.h"
#include "tool/ChangeRunner.h"
#include "tool/Commands.h"

namespace parsleypaddle {

ExitCode runConfigApply(ToolContext& context)
{
    const std::string& path = context.arguments[0];
    const auto document = readFile(path);
    if (!document.ok())
        return fail(context, document.status());
    // Checked here first, so that the faults name the operator's own file.
    const auto configuration = loadConfiguration(*document, path);
    if (!configuration.ok())
        return fail(context, configuration.status());
    const ConfigurationVersion base = context.options.base ? ConfigurationVersion(*context.options.base) : configuration->version;
    return applyAndWait(context, base, *document);
}

}
