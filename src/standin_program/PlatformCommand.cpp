#include "standin_program/PlatformCommand.h"

#include "standin_program/PlatformServer.h"

#include <absl/strings/numbers.h>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <limits>
#include <sstream>

namespace parsleypaddle {

namespace {

    struct PlatformOptions {
        uint32_t port { 0 };
        std::string instancesPath;
        bool isValid { true };
    };

    PlatformOptions parseOptions(int argc, char** argv)
    {
        const option known[] = { { "port", required_argument, nullptr, 'p' }, { "instances", required_argument, nullptr, 'i' }, {} };
        PlatformOptions options;
        for (int it = getopt_long(argc, argv, "p:i:", known, nullptr); it != -1; it = getopt_long(argc, argv, "p:i:", known, nullptr)) {
            if (it == 'p')
                options.isValid = options.isValid && absl::SimpleAtoi(std::string(optarg), &options.port) && options.port <= std::numeric_limits<uint16_t>::max();
            else if (it == 'i')
                options.instancesPath = optarg;
            else
                options.isValid = false;
        }
        return options;
    }

    bool loadInstances(PlatformState& state, const std::string& path)
    {
        std::ifstream file(path);
        std::stringstream buf;
        buf << file.rdbuf();
        constexpr int statusOk = 200;
        return file && state.answer({ "POST", "/instances", buf.str(), "", "" }).status == statusOk;
    }

    void waitForStopSignal(const sigset_t& signals)
    {
        int received = 0;
        sigwait(&signals, &received);
    }

}

int runPlatform(int argc, char** argv)
{
    const PlatformOptions options = parseOptions(argc, argv);
    if (!options.isValid) {
        std::cerr << "usage: parsleypaddle-standin platform [--port N] [--instances FILE]\n";
        return EXIT_FAILURE;
    }
    // Blocked before any thread starts, so that none of them takes the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    const auto server = PlatformServer::create(static_cast<uint16_t>(options.port));
    if (!server.ok()) {
        std::cerr << "parsleypaddle-standin: " << server.status().message() << '\n';
        return EXIT_FAILURE;
    }
    if (!options.instancesPath.empty() && !loadInstances((*server)->state(), options.instancesPath)) {
        std::cerr << "parsleypaddle-standin: no list of instances in " << options.instancesPath << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "platform 127.0.0.1:" << (*server)->port() << "\nready" << std::endl;
    waitForStopSignal(signals);
    return EXIT_SUCCESS;
}

}
