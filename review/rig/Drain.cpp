// Callers that use their open sessions without pauses, while one daemon is stopped with SIGTERM.

#include "Fleet.h"
#include "Group.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace rig;

constexpr const char* service = "fitting-db";
constexpr const char* database = "history-browse";
constexpr int daemons = 6;
constexpr int maxConnections = 34;
constexpr int slots = 5;
constexpr int sessions = 80;
/// The route's limit for a statement.
constexpr double routeTimeout = 2000;
/// Both ways between a client and its daemon.
constexpr double clientRoundTrip = 2;
constexpr double grace = 6000;
constexpr double lossSlack = 200;
/// Requests that were sent this long after SIGTERM at most may still be at work at the end.
constexpr double excusedUntil = 3000;

std::string configuration()
{
    return std::string(R"({"version":7,"routes":[{"name":"r1","host":")") + database + R"(","prefix":"/","kind":"bounded_staleness","timeout-ms":2000,"target-latency-ms":800,"priority":2,"service":")" + service
        + R"(","max-attempts":2,"max-staleness-ms":1500},{"name":"r2","host":"fitting-order","prefix":"/","kind":"primary","timeout-ms":800,"target-latency-ms":200,"priority":1,"service":")" + service
        + R"(","max-attempts":2}],"services":[{"name":")" + service + R"(","health-path":"/health","max-connections":)" + std::to_string(maxConnections)
        + R"(,"protocol":"h1","tls":false,"sync-replicas":0}],"limits":{"transaction-idle-ms":3000}})";
}

struct Request {
    std::string statement;
    double sentAt { 0 };
    double endedAt { 0 };
    std::string error;
};

/// Sends the next read when the last one is answered, until the daemon closes the connection or the run is over.
void runSession(const Daemon& daemon, int number, std::vector<Request>& requests, const std::atomic<bool>& isOver)
{
    auto client = Client::open(daemon.ip, database, "u" + std::to_string(number));
    for (int n = 0; client && !isOver; ++n) {
        Request request;
        request.statement = "s" + std::to_string(number) + "x" + std::to_string(n);
        request.sentAt = now();
        const Answer answer = client->ask(request.statement, "READ item" + std::to_string(number), 8000);
        request.endedAt = now();
        request.error = answer.error;
        requests.push_back(request);
        if (answer.error == "CLOSED" || answer.error == "NOANSWER")
            return;
        sleepFor(clientRoundTrip);
    }
}

bool waitFor(double timeout, const std::function<bool()>& condition)
{
    const double end = now() + timeout;
    while (now() < end) {
        if (condition())
            return true;
        sleepFor(50);
    }
    return condition();
}

}

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: drain FOLDER RECORD\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    const bool isTroubled = !trouble || std::string(trouble) != "0";
    const std::string prefix = freePrefix();
    const std::string host = prefix + ".100";
    GroupTimes times;
    times.work = 47;
    times.lag = 60;
    Group group(service, host, times, maxConnections, slots);
    Store* storeForCalls = nullptr;
    Store store([&](const std::string&, const std::string& id, const std::string& holder, uint64_t) {
        record("promotion of " + id + " by " + holder);
        return group.promote(*storeForCalls, id);
    });
    storeForCalls = &store;
    FleetSettings settings;
    settings.zones = { "zone-a", "zone-b", "zone-c" };
    settings.storeHost = host;
    settings.folder = argv[1];
    Fleet fleet(settings, prefix);
    store.put("op", "config", configuration());
    group.start(store, "i-one", "zone-a", 8701);
    group.start(store, "i-two", "zone-b", 8702);
    group.start(store, "i-three", "zone-c", 8703);
    for (int n = 0; n < daemons; ++n)
        fleet.add(settings.zones[static_cast<size_t>(n) % settings.zones.size()]);
    for (auto& it : fleet.daemons()) {
        store.serve(it->name, host, fleet.storePortOf(*it));
        store.serve(it->name, host, fleet.cloudPortOf(*it));
        fleet.start(*it);
    }
    const auto areReady = [&] {
        for (auto& it : fleet.daemons()) {
            if (!fleet.isReady(*it))
                return false;
        }
        return !store.get("control", std::string("group/") + service).empty();
    };
    if (!waitFor(15'000, areReady)) {
        record("the case could not run: the daemons are not ready");
        fleet.stop();
        writeRecord(argv[2]);
        std::_Exit(2);
    }
    record("all daemons are ready");
    sleepFor(8000);
    std::atomic<bool> isOver { false };
    std::vector<std::vector<Request>> requests(sessions);
    std::vector<std::thread> threads;
    Daemon& stopped = *fleet.daemons().front();
    // A write lets the daemon know how far the primary's log is.
    std::thread writer([&] {
        auto client = Client::open(stopped.ip, "fitting-order", "writer");
        for (int n = 0; client && !isOver; ++n) {
            const Answer answer = client->ask("w" + std::to_string(n), "WRITE item" + std::to_string(n % sessions + 1) + " v" + std::to_string(n), 8000);
            if (answer.error == "CLOSED")
                client = Client::open(fleet.daemons()[1]->ip, "fitting-order", "writer");
            sleepFor(100);
        }
    });
    for (int n = 0; n < sessions; ++n)
        threads.emplace_back([&, n] { runSession(stopped, n + 1, requests[static_cast<size_t>(n)], isOver); });
    sleepFor(6000);
    const double stoppedAt = now();
    if (isTroubled)
        Fleet::signal(stopped, SIGTERM);
    // The platform kills what still runs after the grace period.
    const bool hasEnded = isTroubled && waitFor(grace, [&] { return !fleet.ended().empty(); });
    if (!isTroubled)
        sleepFor(grace);
    else if (!hasEnded)
        Fleet::signal(stopped, SIGKILL);
    const double endedAt = now();
    sleepFor(500);
    isOver = true;
    for (auto& it : threads)
        it.join();
    writer.join();
    fleet.stop();

    const auto begun = group.begun();
    int answered = 0;
    int lost = 0;
    std::map<std::string, int> errors;
    for (const auto& session : requests) {
        for (const auto& it : session) {
            if (it.error != "CLOSED") {
                ++answered;
                if (!it.error.empty())
                    ++errors[it.error];
                continue;
            }
            const bool isPassedOn = begun.count(it.statement) > 0;
            const bool isRead = isPassedOn || it.endedAt - it.sentAt > lossSlack;
            const bool isExcused = it.sentAt <= stoppedAt + excusedUntil || it.endedAt - it.sentAt >= routeTimeout;
            std::ostringstream line;
            line << (isRead && !isExcused ? "LOST: " : "closed: ") << it.statement << " sent " << it.sentAt - stoppedAt << " ms after SIGTERM, the connection ended after " << it.endedAt - it.sentAt << " ms without an answer"
                 << (isPassedOn ? ", a server has begun to run it" : ", no server has run it");
            record(line.str());
            lost += isRead && !isExcused ? 1 : 0;
        }
    }
    std::ostringstream summary;
    summary << "trouble " << (isTroubled ? "on" : "off") << ": " << answered << " answered requests, " << lost << " requests lost";
    if (isTroubled)
        summary << "; the process ended " << endedAt - stoppedAt << " ms after SIGTERM" << (hasEnded ? "" : " by SIGKILL");
    for (const auto& [error, n] : errors)
        summary << "; " << error << " " << n;
    record(summary.str());
    writeRecord(argv[2]);
    std::cout << summary.str() << std::endl;
    std::_Exit(lost > 0 ? 1 : 0);
}
