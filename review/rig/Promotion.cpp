// The daemon that carries out a change of primary is cut off from the platform while its call for the promotion is on its way.

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

constexpr const char* service = "orders-db";
constexpr const char* database = "reorder";
constexpr int daemons = 6;
constexpr int writers = 6;
/// How long the daemon is cut off.
constexpr double cut = 4000;
/// A sender of TCP repeats what was not received after 200 ms, and doubles the delay each time.
constexpr double firstRetransmission = 200;

std::string configuration()
{
    return std::string(R"({"version":7,"routes":[{"name":"r1","host":")") + database + R"(","prefix":"/","kind":"primary","timeout-ms":800,"target-latency-ms":150,"priority":1,"service":")" + service
        + R"(","max-attempts":2}],"services":[{"name":")" + service + R"(","health-path":"/health","max-connections":38,"protocol":"h1","tls":false,"sync-replicas":0}],"limits":{"transaction-idle-ms":3000}})";
}

struct Call {
    std::string id;
    std::string holder;
    uint64_t token { 0 };
};

struct Write {
    std::string statement;
    double answeredAt { 0 };
};

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

/// Until when bytes that were first sent at `sentAt` are held up by a cut that ends at `healedAt`.
double arrivalAfter(double sentAt, double healedAt)
{
    double delay = firstRetransmission;
    double at = sentAt + delay;
    while (at < healedAt) {
        delay *= 2;
        at += delay;
    }
    return at;
}

}

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: promotion FOLDER RECORD\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    const bool isTroubled = !trouble || std::string(trouble) != "0";
    const std::string prefix = freePrefix();
    const std::string host = prefix + ".100";
    GroupTimes times;
    times.work = 5;
    times.lag = 60;
    times.promote = 300;
    Group group(service, host, times, 38, 3);
    Store* storeInUse = nullptr;
    std::mutex mutex;
    std::vector<Call> calls;
    int lowerTokens = 0;
    std::string cutOff;
    double cutAt = 0;
    std::atomic<bool> isCut { false };
    Store store(
        [&](const std::string&, const std::string& id, const std::string& holder, uint64_t token) {
            std::lock_guard<std::mutex> lock(mutex);
            uint64_t greatest = 0;
            for (const auto& it : calls)
                greatest = std::max(greatest, it.token);
            calls.push_back({ id, holder, token });
            record(std::string(token < greatest ? "ONE: " : "") + "promotion of " + id + " by " + holder + ", token " + std::to_string(token) + ", greatest token before " + std::to_string(greatest));
            lowerTokens += token < greatest ? 1 : 0;
            return group.promote(*storeInUse, id);
        },
        [&](const std::string& name, Connection& connection) {
            bool isFirst = false;
            {
                std::lock_guard<std::mutex> lock(mutex);
                isFirst = isTroubled && cutOff.empty();
                if (isFirst) {
                    cutOff = name;
                    cutAt = now();
                    isCut = true;
                    record(name + " is cut off from the platform while its call for a promotion is on its way");
                    std::thread([&] {
                        sleepFor(cut);
                        isCut = false;
                        record("the cut has ended");
                        storeInUse->setSilent(cutOff, false);
                    }).detach();
                }
            }
            if (isFirst) {
                storeInUse->setSilent(name, true);
                const double arrival = arrivalAfter(cutAt, cutAt + cut);
                while (now() < arrival)
                    sleepFor(10);
                const bool isLost = connection.isReset();
                record(std::string("the call that was held up ") + (isLost ? "is lost, because its sender has reset the connection" : "arrives"));
                return !isLost;
            }
            // A connection cannot be opened during the cut.
            return !(isCut && name == cutOff);
        });
    storeInUse = &store;
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
    std::vector<std::vector<Write>> writes(writers);
    std::vector<std::thread> threads;
    for (int n = 0; n < writers; ++n) {
        threads.emplace_back([&, n] {
            const Daemon& daemon = *fleet.daemons()[static_cast<size_t>(n)];
            std::unique_ptr<Client> client;
            for (int count = 0; !isOver; ++count) {
                if (!client)
                    client = Client::open(daemon.ip, database, "u" + std::to_string(n));
                if (!client) {
                    sleepFor(100);
                    continue;
                }
                const std::string statement = "s" + std::to_string(n) + "x" + std::to_string(count);
                const Answer answer = client->ask(statement, "WRITE item" + std::to_string(n) + " v" + std::to_string(count), 3000);
                if (answer.error.empty())
                    writes[static_cast<size_t>(n)].push_back({ statement, now() });
                if (answer.error == "CLOSED" || answer.error == "NOANSWER")
                    client.reset();
                sleepFor(20);
            }
        });
    }
    sleepFor(2000);
    group.start(store, "i-four", "zone-a", 8704);
    record("server i-four starts");
    sleepFor(2000);
    group.drain(store, "i-one");
    sleepFor(14'000);
    isOver = true;
    for (auto& it : threads)
        it.join();
    fleet.stop();
    std::set<std::string> kept;
    for (const auto& it : group.log())
        kept.insert(it.statement);
    int acknowledged = 0;
    int rolledBack = 0;
    for (const auto& session : writes) {
        for (const auto& it : session) {
            ++acknowledged;
            if (kept.count(it.statement) > 0)
                continue;
            ++rolledBack;
            record("acknowledged at " + std::to_string(it.answeredAt) + " and rolled back: " + it.statement);
        }
    }
    std::ostringstream summary;
    summary << "trouble " << (isTroubled ? "on" : "off") << ": " << calls.size() << " promotions called, " << lowerTokens << " with a lower token than one before; " << acknowledged << " acknowledged writes, " << rolledBack << " of them rolled back";
    record(summary.str());
    writeRecord(argv[2]);
    std::cout << summary.str() << std::endl;
    std::_Exit(calls.empty() ? 2 : lowerTokens > 0 ? 1 : 0);
}
