#include "control/ControlClient.h"
#include "tool/Tool.h"

#include <Poco/Thread.h>
#include <Poco/Timestamp.h>
#include <csignal>
#include <iostream>

namespace {

using namespace parsleypaddle;

Instant wallClock()
{
    constexpr double microsecondsPerMillisecond = 1000;
    return Instant(static_cast<double>(Poco::Timestamp().epochMicroseconds()) / microsecondsPerMillisecond);
}

}

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto options = parseToolOptions(arguments);
    const auto key = loadKey(options.ok() ? options->keyFile : "");
    ToolPorts ports {
        std::cout,
        std::cerr,
        [&key](const ControlAddress& address, const std::string& method, const std::string& parameters, Milliseconds timeout) {
            if (!key.ok())
                return ControlResult::failure(static_cast<int>(ResultCode::KeyRefused), std::string(key.status().message()));
            return ControlClient::call(address, *key, method, parameters, timeout.count());
        },
        [](Milliseconds pause) { Poco::Thread::sleep(static_cast<long>(pause.count())); },
        wallClock,
    };
    return static_cast<int>(runTool(arguments, ports));
}
