#pragma once

#include "tool/ToolContext.h"

#include <vector>

namespace parsleypaddle {

/// One command of the tool.
struct ToolCommand {
    /// Its words, such as "config apply".
    const char* name;
    /// What stands after them.
    const char* arguments;
    size_t argumentCount;
    const char* help;
    /// Options that it takes besides those that all take.
    std::vector<const char*> options;
    ExitCode (*run)(ToolContext&);
};

/// Every command, in the order of the help.
const std::vector<ToolCommand>& toolCommands();

ExitCode runConfigCheck(ToolContext&);
ExitCode runConfigApply(ToolContext&);
ExitCode runConfigShow(ToolContext&);
ExitCode runConfigDiff(ToolContext&);
ExitCode runConfigHistory(ToolContext&);
ExitCode runExceptionAdd(ToolContext&);
ExitCode runExceptionRemove(ToolContext&);
ExitCode runExceptionList(ToolContext&);
ExitCode runGroupAdd(ToolContext&);
ExitCode runGroupRemove(ToolContext&);
ExitCode runGroupList(ToolContext&);
ExitCode runStatus(ToolContext&);
ExitCode runExplainRequest(ToolContext&);
ExitCode runExplainGroup(ToolContext&);
ExitCode runExplainLog(ToolContext&);
ExitCode runDrain(ToolContext&);

}
