#include "standin_program/GroupCommand.h"
#include "standin_program/PlatformCommand.h"

#include <array>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace {

struct Command {
    std::string_view name;
    int (*run)(int argc, char** argv);
};

constexpr std::array<Command, 2> commands { {
    { "group", parsleypaddle::runGroup },
    { "platform", parsleypaddle::runPlatform },
} };

}

int main(int argc, char** argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    for (const auto& it : commands) {
        if (it.name == name)
            return it.run(argc - 1, argv + 1);
    }
    std::cerr << "usage: parsleypaddle-standin group --settings FILE\n"
                 "       parsleypaddle-standin platform [--port N] [--instances FILE]\n";
    return EXIT_FAILURE;
}
