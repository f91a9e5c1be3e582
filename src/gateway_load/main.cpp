#include "gateway_load/LoadRun.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>

using namespace parsleypaddle;

namespace {

constexpr const char* usage = "usage: parsleypaddle-gateway-load load|forward|idle|serve [--connections N] [--requests N] [--bytes N] [--port N]\n";

struct Arguments {
    LoadPlan plan;
    uint16_t port { 0 };
};

bool readArguments(int count, char** values, Arguments& arguments)
{
    static const option options[] {
        { "connections", required_argument, nullptr, 'c' },
        { "requests", required_argument, nullptr, 'r' },
        { "bytes", required_argument, nullptr, 'b' },
        { "port", required_argument, nullptr, 'p' },
        { nullptr, 0, nullptr, 0 },
    };
    int found = 0;
    while ((found = getopt_long(count, values, "", options, nullptr)) != -1) {
        if (found == '?')
            return false;
        const unsigned long number = std::strtoul(optarg, nullptr, 10);
        if (found == 'c')
            arguments.plan.connections = static_cast<unsigned>(number);
        if (found == 'r')
            arguments.plan.requestsEach = static_cast<unsigned>(number);
        if (found == 'b')
            arguments.plan.parameterBytes = number;
        if (found == 'p')
            arguments.port = static_cast<uint16_t>(number);
    }
    return arguments.plan.connections > 0;
}

int fail(const absl::Status& ec)
{
    std::fprintf(stderr, "%s\n", ec.ToString().c_str());
    return EXIT_FAILURE;
}

int printLoad(const LoadPlan& plan, const absl::StatusOr<LoadResult>& result)
{
    if (!result.ok())
        return fail(result.status());
    constexpr double microseconds = 1000;
    const auto requests = static_cast<double>(result->requests);
    std::printf("{\"connections\":%u,\"requests\":%llu,\"failed\":%llu,\"requests_per_second\":%.0f,\"processor_us_per_request\":%.2f,\"peer_processor_us_per_request\":%.2f}\n",
        plan.connections, static_cast<unsigned long long>(result->requests), static_cast<unsigned long long>(result->failed),
        requests / result->took.count() * 1000, result->processorTime.count() * microseconds / requests, result->peerProcessorTime.count() * microseconds / requests);
    return result->failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int printIdle(unsigned connections)
{
    const auto result = runIdle(connections);
    if (!result.ok())
        return fail(result.status());
    const uint64_t grown = result->residentBytesAfter - result->residentBytesBefore;
    std::printf("{\"idle_connections\":%u,\"resident_bytes_before\":%llu,\"bytes_per_connection\":%llu}\n", result->connections,
        static_cast<unsigned long long>(result->residentBytesBefore), static_cast<unsigned long long>(result->connections ? grown / result->connections : 0));
    return result->connections + 1 == connections ? EXIT_SUCCESS : EXIT_FAILURE;
}

}

int main(int count, char** values)
{
    Arguments arguments;
    if (!readArguments(count, values, arguments) || optind + 1 != count) {
        std::fputs(usage, stderr);
        return EXIT_FAILURE;
    }
    const std::string command = values[optind];
    if (command == "load")
        return printLoad(arguments.plan, runLoad(arguments.plan));
    if (command == "forward")
        return printLoad(arguments.plan, runForwarded(arguments.plan));
    if (command == "idle")
        return printIdle(arguments.plan.connections);
    if (command == "serve")
        return fail(serve(arguments.port));
    std::fputs(usage, stderr);
    return EXIT_FAILURE;
}
