#include "overhead/LoadRun.h"

#include <algorithm>
#include <thread>

namespace parsleypaddle {

namespace {

    struct Worker {
        std::unique_ptr<PollLoop> loop;
        std::unique_ptr<LoadMeter> meter;
        std::thread thread;
    };

    Milliseconds quantile(std::vector<double>& latencies, double share)
    {
        if (latencies.empty())
            return Milliseconds(0);
        const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(latencies.size() - 1));
        std::nth_element(latencies.begin(), latencies.begin() + rank, latencies.end());
        return Milliseconds(latencies[static_cast<size_t>(rank)]);
    }

    LoadResult resultOf(const std::vector<Worker>& workers, const LoadTimes& times)
    {
        constexpr double millisecondsPerSecond = 1000;
        LoadResult result;
        std::vector<double> latencies;
        for (const auto& it : workers) {
            latencies.insert(latencies.end(), it.meter->latencies().begin(), it.meter->latencies().end());
            result.failures += it.meter->failures();
            if (!it.meter->lastFailure().empty())
                result.lastFailure = it.meter->lastFailure();
        }
        result.perSecond = static_cast<double>(latencies.size()) * millisecondsPerSecond / times.measured.count();
        result.median = quantile(latencies, 0.5);
        result.p99 = quantile(latencies, 0.99);
        return result;
    }

    void runWorker(Worker& worker, StartClients startClients, const LoadPlan& plan)
    {
        const auto clients = startClients(*worker.loop, *worker.meter, plan);
        worker.loop->run();
    }

}

absl::StatusOr<LoadResult> runLoad(StartClients startClients, const LoadPlan& plan, size_t workers, const LoadTimes& times)
{
    std::vector<Worker> running(std::min(workers, plan.connections));
    for (auto& it : running) {
        auto loop = PollLoop::create();
        if (!loop.ok())
            return loop.status();
        it.loop = std::move(*loop);
    }
    for (size_t n = 0; n < running.size(); ++n) {
        LoadPlan share = plan;
        share.worker = n;
        share.connections = plan.connections / running.size() + (n < plan.connections % running.size() ? 1 : 0);
        running[n].meter = std::make_unique<LoadMeter>(*running[n].loop, times);
        running[n].thread = std::thread([&worker = running[n], startClients, share] { runWorker(worker, startClients, share); });
    }
    for (auto& it : running)
        it.thread.join();
    return resultOf(running, times);
}

}
