#include "overhead/OverheadOptions.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <array>
#include <getopt.h>

namespace parsleypaddle {

namespace {

    constexpr const char* usage = "usage: parsleypaddle-overhead --daemon HOST:PORT --target HOST:PORT [--pid N] [--page PATH] "
                                  "[--connections 1,32,1000] [--idle N] [--workers N] [--seconds S] [--write] [--json]";
    constexpr double millisecondsPerSecond = 1000;

    bool readAddress(const std::string& text, LoadAddress& address)
    {
        const std::vector<std::string> parts = absl::StrSplit(text, ':');
        uint32_t port = 0;
        if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port) || port == 0 || port > UINT16_MAX)
            return false;
        address = { parts[0], static_cast<uint16_t>(port) };
        return true;
    }

    bool readCounts(const std::string& text, std::vector<size_t>& counts)
    {
        counts.clear();
        for (const auto& it : absl::StrSplit(text, ',')) {
            size_t count = 0;
            if (!absl::SimpleAtoi(it, &count) || count == 0)
                return false;
            counts.push_back(count);
        }
        return true;
    }

    bool readSeconds(const std::string& text, Milliseconds& span)
    {
        double seconds = 0;
        if (!absl::SimpleAtod(text, &seconds) || seconds <= 0)
            return false;
        span = Milliseconds(seconds * millisecondsPerSecond);
        return true;
    }

    bool take(int option, const std::string& value, OverheadOptions& options)
    {
        switch (option) {
        case 'd':
            return readAddress(value, options.daemon);
        case 't':
            return readAddress(value, options.target);
        case 'p':
            return absl::SimpleAtoi(value, &options.pid);
        case 'g':
            options.page = value;
            return true;
        case 'c':
            return readCounts(value, options.connections);
        case 'i':
            return absl::SimpleAtoi(value, &options.idleConnections);
        case 'w':
            return absl::SimpleAtoi(value, &options.workers) && options.workers > 0;
        case 's':
            return readSeconds(value, options.times.measured);
        case 'W':
            options.statement = LoadStatement::Write;
            return true;
        case 'j':
            options.isJson = true;
            return true;
        default:
            return false;
        }
    }

}

absl::StatusOr<OverheadOptions> OverheadOptions::parse(int argc, char** argv)
{
    const std::array<option, 11> known { { { "daemon", required_argument, nullptr, 'd' }, { "target", required_argument, nullptr, 't' },
        { "pid", required_argument, nullptr, 'p' }, { "page", required_argument, nullptr, 'g' }, { "connections", required_argument, nullptr, 'c' },
        { "idle", required_argument, nullptr, 'i' }, { "workers", required_argument, nullptr, 'w' }, { "seconds", required_argument, nullptr, 's' },
        { "write", no_argument, nullptr, 'W' }, { "json", no_argument, nullptr, 'j' }, {} } };
    OverheadOptions options;
    for (int it = getopt_long(argc, argv, "", known.data(), nullptr); it != -1; it = getopt_long(argc, argv, "", known.data(), nullptr)) {
        if (!take(it, optarg ? optarg : "", options))
            return absl::InvalidArgumentError(usage);
    }
    if (options.daemon.port == 0 || options.target.port == 0)
        return absl::InvalidArgumentError(usage);
    return options;
}

}
