#include "overhead/OverheadOptions.h"
#include "overhead/OverheadReport.h"

#include <cstdlib>
#include <curl/curl.h>
#include <iostream>

using namespace parsleypaddle;

namespace {

absl::StatusOr<OverheadRow> measure(const OverheadOptions& options, size_t connections)
{
    auto direct = runLoad(LoadClients::straightToTarget, { options.target, options.statement, connections, 0 }, options.workers, options.times);
    if (!direct.ok())
        return direct.status();
    auto daemon = runLoad(LoadClients::throughDaemon, { options.daemon, options.statement, connections, 0 }, options.workers, options.times);
    if (!daemon.ok())
        return daemon.status();
    return OverheadRow { connections, std::move(*direct), std::move(*daemon) };
}

absl::StatusOr<OverheadReport> measureAll(const OverheadOptions& options)
{
    OverheadReport report;
    if (options.pid > 0) {
        const auto memory = measureIdleMemory(options.daemon, options.page, options.pid, options.idleConnections);
        if (!memory.ok())
            return memory.status();
        report.memory = *memory;
    }
    for (const size_t it : options.connections) {
        auto row = measure(options, it);
        if (!row.ok())
            return row.status();
        report.rows.push_back(std::move(*row));
    }
    return report;
}

}

int main(int argc, char** argv)
{
    const auto options = OverheadOptions::parse(argc, argv);
    if (!options.ok()) {
        std::cerr << options.status().message() << '\n';
        return EXIT_FAILURE;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const auto report = measureAll(*options);
    curl_global_cleanup();
    if (!report.ok()) {
        std::cerr << "parsleypaddle-overhead: " << report.status().message() << '\n';
        return EXIT_FAILURE;
    }
    if (options->isJson)
        printJson(std::cout, *report);
    else
        printTable(std::cout, *report);
    return EXIT_SUCCESS;
}
