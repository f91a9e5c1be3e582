#include "tool/Commands.h"

namespace parsleypaddle {

const std::vector<ToolCommand>& toolCommands()
{
    static const std::vector<ToolCommand> commands {
        { "config check", "FILE", 1, "checks a document and prints every fault, without a daemon", {}, runConfigCheck },
        { "config apply", "FILE", 1, "puts a document in force and waits until every daemon in reach has it", { "author", "base", "timeout" }, runConfigApply },
        { "config show", "", 0, "prints the document in force", {}, runConfigShow },
        { "config diff", "FILE", 1, "prints what applying a document would change", {}, runConfigDiff },
        { "config history", "", 0, "prints the latest changes: version, time, author, what changed", {}, runConfigHistory },
        { "exception add", "", 0, "adds an exception to the defaults, with its reason", { "id", "database", "shop", "class", "setting", "value", "reason", "until", "author", "timeout" }, runExceptionAdd },
        { "exception remove", "ID", 1, "removes an exception", { "author", "timeout" }, runExceptionRemove },
        { "exception list", "", 0, "prints the exceptions, ended ones marked", {}, runExceptionList },
        { "group add", "DATABASE", 1, "adds a database group", { "slots", "connections", "target", "author", "timeout" }, runGroupAdd },
        { "group remove", "DATABASE", 1, "removes a database group", { "author", "timeout" }, runGroupRemove },
        { "group list", "", 0, "prints the database groups and their targets", {}, runGroupList },
        { "status", "", 0, "prints each daemon's version in force and each group's term, primary, lag and home", {}, runStatus },
        { "explain group", "DATABASE", 1, "prints what was decided on a group, when and why", {}, runExplainGroup },
        { "explain log", "REQUEST-ID FILE", 2, "prints the story of a request from daemons' log lines in a file (- for standard input)", {}, runExplainLog },
        { "explain", "REQUEST-ID", 1, "prints what was decided on a request, when and why", {}, runExplainRequest },
        { "drain", "", 0, "makes the one daemon named by --daemon leave once its requests have ended", {}, runDrain },
    };
    return commands;
}

}
