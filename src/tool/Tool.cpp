#include "tool/Tool.h"

#include "tool/Commands.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <sstream>

namespace parsleypaddle {

namespace {

    constexpr std::array<const char*, 4> commonOptions { "daemon", "key-file", "json", "help" };

    std::vector<std::string> split(const std::string& text)
    {
        std::istringstream in(text);
        std::vector<std::string> words;
        for (std::string it; in >> it;)
            words.push_back(it);
        return words;
    }

    const ToolCommand* findCommand(const std::vector<std::string>& words)
    {
        for (const auto& it : toolCommands()) {
            const auto name = split(it.name);
            if (words.size() >= name.size() && std::equal(name.begin(), name.end(), words.begin()))
                return &it;
        }
        return nullptr;
    }

    void printUsage(std::ostream& out)
    {
        out << "usage: parsleypaddle COMMAND [ARGUMENTS] --daemon HOST:PORT [OPTIONS]\n\n";
        for (const auto& it : toolCommands())
            out << "  " << it.name << (*it.arguments ? " " : "") << it.arguments << "\n      " << it.help << '\n';
        out << "\nparsleypaddle COMMAND --help tells a command's options.\n";
    }

    void printHelp(std::ostream& out, const ToolCommand& command)
    {
        out << "usage: parsleypaddle " << command.name << (*command.arguments ? " " : "") << command.arguments << " [OPTIONS]\n"
            << command.help << "\n\n";
        for (const char* it : command.options)
            out << "  --" << it << "  " << helpOfOption(it) << '\n';
        for (const char* it : commonOptions)
            out << "  --" << it << "  " << helpOfOption(it) << '\n';
    }

    bool takes(const ToolCommand& command, const std::string& option)
    {
        const auto isOption = [&option](const char* it) { return option == it; };
        return std::any_of(command.options.begin(), command.options.end(), isOption) || std::any_of(commonOptions.begin(), commonOptions.end(), isOption);
    }

    ExitCode refuseUsage(ToolPorts& ports, const std::string& why)
    {
        ports.err << "parsleypaddle: " << why << "; see parsleypaddle --help\n";
        return ExitCode::Usage;
    }

}

ExitCode runTool(const std::vector<std::string>& arguments, ToolPorts& ports)
{
    auto options = parseToolOptions(arguments);
    if (!options.ok())
        return refuseUsage(ports, std::string(options.status().message()));
    const ToolCommand* command = findCommand(options->words);
    if (!command) {
        if (!options->wantsHelp)
            return refuseUsage(ports, options->words.empty() ? "no command" : "no such command");
        printUsage(ports.out);
        return ExitCode::Done;
    }
    if (options->wantsHelp) {
        printHelp(ports.out, *command);
        return ExitCode::Done;
    }
    for (const auto& it : options->given) {
        if (!takes(*command, it))
            return refuseUsage(ports, std::string(command->name) + " takes no --" + it);
    }
    const auto begin = options->words.begin() + static_cast<std::ptrdiff_t>(split(command->name).size());
    const std::vector<std::string> rest(begin, options->words.end());
    if (rest.size() != command->argumentCount)
        return refuseUsage(ports, std::string(command->name) + " takes " + std::to_string(command->argumentCount) + " argument(s): " + command->arguments);
    ToolContext context { ports, std::move(*options), rest };
    return command->run(context);
}

}
