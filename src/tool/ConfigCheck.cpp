#include "configuration/ConfigurationYaml.h"
#include "tool/Commands.h"

#include <ostream>

namespace parsleypaddle {

namespace {

    void printFaults(ToolContext& context, const std::string& path, const ParsedConfiguration& parsed)
    {
        if (!context.options.isJson) {
            for (const auto& it : parsed.faults)
                context.ports.out << it.describe(path) << '\n';
            if (parsed.isValid())
                context.ports.out << path << ": no faults\n";
            return;
        }
        Json::Value value;
        value["valid"] = parsed.isValid();
        value["faults"] = Json::Value(Json::arrayValue);
        for (const auto& it : parsed.faults) {
            Json::Value fault;
            fault["line"] = it.line;
            fault["key"] = it.key;
            fault["found"] = it.found;
            fault["expected"] = it.expected;
            value["faults"].append(fault);
        }
        printJson(context, value);
    }

}

ExitCode runConfigCheck(ToolContext& context)
{
    const std::string& path = context.arguments[0];
    const auto document = readFile(path);
    if (!document.ok())
        return fail(context, document.status());
    const ParsedConfiguration parsed = parseConfiguration(*document);
    printFaults(context, path, parsed);
    return parsed.isValid() ? ExitCode::Done : ExitCode::InvalidDocument;
}

}
