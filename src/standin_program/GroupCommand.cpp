#include "standin_program/GroupCommand.h"

#include "standin_program/ControlServer.h"
#include "standin_program/GroupSettings.h"

#include <csignal>
#include <getopt.h>
#include <iostream>
#include <string>
#include <sys/signalfd.h>
#include <unistd.h>

namespace parsleypaddle {

namespace {

    std::string settingsPathOf(int argc, char** argv)
    {
        const option options[] = { { "settings", required_argument, nullptr, 's' }, {} };
        std::string path;
        for (int it = getopt_long(argc, argv, "s:", options, nullptr); it != -1; it = getopt_long(argc, argv, "s:", options, nullptr)) {
            if (it == 's')
                path = optarg;
        }
        return path;
    }

    /// Must come before any thread starts, so that none of them takes the signals.
    int blockStopSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        signal(SIGPIPE, SIG_IGN);
        return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    }

    int fail(const absl::Status& status)
    {
        std::cerr << "parsleypaddle-standin: " << status.message() << '\n';
        return EXIT_FAILURE;
    }

    void printPorts(const GroupStandin& group, const ControlServer& control)
    {
        for (const auto& it : group.targets())
            std::cout << "target " << it->id().value() << " 127.0.0.1:" << it->port() << '\n';
        std::cout << "control 127.0.0.1:" << control.port() << "\nready" << std::endl;
    }

    int serve(PollLoop& loop, const GroupSettings& settings)
    {
        auto group = GroupStandin::create(loop, settings.group);
        if (!group.ok())
            return fail(group.status());
        GroupStandin& standin = **group;
        auto control = ControlServer::create(
            loop, settings.controlPort, [&standin](const Json::Value& fields) { return standin.switchFault(fields); }, [&standin] { return standin.state(); });
        if (!control.ok())
            return fail(control.status());
        printPorts(standin, **control);
        loop.run();
        return EXIT_SUCCESS;
    }

}

int runGroup(int argc, char** argv)
{
    const auto settings = readGroupSettings(settingsPathOf(argc, argv));
    if (!settings.ok())
        return fail(settings.status());
    const int signals = blockStopSignals();
    auto loop = PollLoop::create();
    if (!loop.ok())
        return fail(loop.status());
    (*loop)->watch(signals, Readiness::Read, [&loop](Readiness) { (*loop)->stop(); });
    const int exitCode = serve(**loop, *settings);
    (*loop)->unwatch(signals);
    close(signals);
    return exitCode;
}

}
