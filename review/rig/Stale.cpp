// Sessions write and read their own items on a read_your_writes route while a primary is replaced as planned, and the platform's store
// turns some machines away meanwhile.

#include "Fleet.h"
#include "Group.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace rig;

constexpr const char* service = "orders-db";
constexpr const char* database = "proof";
constexpr int maxConnections = 20;
constexpr int slots = 4;
/// Changes of primary, one after the other.
constexpr int rounds = 3;
constexpr int sessionsPerDaemon = 20;
/// About one statement in five is a write, as 12% of the statements and 12% of transactions with several statements on the sheet.
constexpr int readsPerWrite = 4;
constexpr double statementTimeout = 3000;
/// How long the store turns the machines away.
constexpr double silence = 4500;

std::string configuration()
{
    return std::string(R"({"version":7,"routes":[{"name":"r1","host":")") + database + R"(","prefix":"/","kind":"read_your_writes","timeout-ms":800,"target-latency-ms":250,"priority":2,"service":")" + service
        + R"(","max-attempts":2,"max-staleness-ms":2500}],"services":[{"name":")" + service + R"(","health-path":"/health","max-connections":)" + std::to_string(maxConnections)
        + R"(,"protocol":"h1","tls":false,"sync-replicas":0}],"limits":{"transaction-idle-ms":3000}})";
}

/// What a session has got.
struct Operation {
    double sentAt { 0 };
    double answeredAt { 0 };
    bool isWrite { false };
    long value { 0 };
    std::string statement;
    std::string error;
};

struct SessionLog {
    std::string daemon;
    std::string item;
    std::vector<Operation> operations;
};

/// Writes its item and reads it some times, in turn, with short pauses, and opens a new session when one ends.
void runSession(const Daemon& daemon, SessionLog& log, int number, const std::atomic<bool>& isOver)
{
    std::unique_ptr<Client> client;
    long value = 0;
    int count = 0;
    int reads = 0;
    while (!isOver) {
        if (!client)
            client = Client::open(daemon.ip, database, "u" + std::to_string(number));
        if (!client) {
            sleepFor(100);
            continue;
        }
        Operation operation;
        const bool isWrite = reads == 0;
        operation.isWrite = isWrite;
        operation.statement = "s" + std::to_string(number) + "x" + std::to_string(++count);
        operation.sentAt = now();
        if (isWrite)
            operation.value = ++value;
        const Answer answer = client->ask(operation.statement, isWrite ? "WRITE " + log.item + " v" + std::to_string(value) : "READ " + log.item, statementTimeout);
        operation.answeredAt = now();
        operation.error = answer.error;
        if (!isWrite && answer.error.empty())
            operation.value = answer.rows.empty() || answer.rows.front().size() < 2 ? 0 : std::stol(answer.rows.front().substr(1));
        log.operations.push_back(operation);
        if (answer.error == "CLOSED" || answer.error == "NOANSWER") {
            // Only the commits of this session have to be seen by its reads.
            client.reset();
            log.operations.push_back({ now(), now(), false, 0, "", "NEWSESSION" });
        }
        if (answer.error.empty())
            reads = isWrite ? readsPerWrite : reads - 1;
        sleepFor(answer.error.empty() ? 10 : 100);
    }
}

bool isHome(const Daemon& daemon)
{
    const std::string text = Fleet::metrics(daemon);
    const size_t at = text.find("\nparsleypaddle_connections_opened_total ");
    return at != std::string::npos && std::stod(text.substr(at + 40)) > 0;
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
        std::cerr << "usage: stale FOLDER RECORD\n";
        return 2;
    }
    const std::string folder = argv[1];
    const char* trouble = std::getenv("TROUBLE");
    const bool isTroubled = !trouble || std::string(trouble) != "0";
    const std::string prefix = freePrefix();
    const std::string host = prefix + ".100";
    GroupTimes times;
    Group group(service, host, times, maxConnections, slots);
    std::mutex ownerMutex;
    std::string owner;
    std::atomic<bool> isTroubleDue { false };
    Store* storeForCalls = nullptr;
    Store store([&](const std::string& of, const std::string& id, const std::string& holder, uint64_t token) {
        record("promotion of " + id + " for " + of + " by " + holder + ", token " + std::to_string(token));
        const int status = group.promote(*storeForCalls, id);
        {
            std::lock_guard<std::mutex> lock(ownerMutex);
            owner = holder;
        }
        isTroubleDue = true;
        return status;
    });
    storeForCalls = &store;
    FleetSettings settings;
    settings.zones = { "zone-a", "zone-b", "zone-c", "zone-d" };
    settings.storeHost = host;
    settings.folder = folder;
    Fleet fleet(settings, prefix);
    store.put("op", "config", configuration());
    group.start(store, "i-one", "zone-a", 8701);
    group.start(store, "i-two", "zone-b", 8702);
    group.start(store, "i-three", "zone-c", 8703);
    for (const char* zone : { "zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b", "zone-c", "zone-c", "zone-d", "zone-d" })
        fleet.add(zone);
    for (auto& it : fleet.daemons()) {
        store.serve(it->name, host, fleet.storePortOf(*it));
        store.serve(it->name, host, fleet.cloudPortOf(*it));
        fleet.start(*it);
    }
    const auto fail = [&](const std::string& why) {
        record("the case could not run: " + why);
        fleet.stop();
        writeRecord(argv[2]);
        std::cerr << why << '\n';
        std::_Exit(2);
    };
    if (!waitFor(15'000, [&] {
            for (auto& it : fleet.daemons()) {
                if (!fleet.isReady(*it))
                    return false;
            }
            return !store.get("control", std::string("group/") + service).empty();
        }))
        fail("the daemons are not ready");
    record("all daemons are ready");
    // The daemons learn of each other from the lease rows, which they read every five seconds.
    sleepFor(8000);
    for (auto& it : fleet.daemons()) {
        auto client = Client::open(it->ip, database, "warmup");
        for (int n = 0; client && n < 10; ++n)
            client->ask("w" + it->name + std::to_string(n), n % 2 == 0 ? "WRITE warm" + it->name + " v1" : "READ warm" + it->name, statementTimeout);
    }
    std::vector<Daemon*> others;
    for (auto& it : fleet.daemons()) {
        if (!isHome(*it))
            others.push_back(it.get());
    }
    for (const Daemon* it : others)
        record(it->name + " forwards its statements to homes");
    if (others.empty())
        fail("every daemon connects to the servers");
    std::atomic<bool> isOver { false };
    std::vector<std::unique_ptr<SessionLog>> logs;
    std::vector<std::thread> threads;
    for (Daemon* daemon : others) {
        for (int n = 0; n < sessionsPerDaemon; ++n) {
            logs.push_back(std::make_unique<SessionLog>());
            const int number = static_cast<int>(logs.size());
            logs.back()->daemon = daemon->name;
            logs.back()->item = "item" + std::to_string(number);
            threads.emplace_back([daemon, log = logs.back().get(), number, &isOver] { runSession(*daemon, *log, number, isOver); });
        }
    }
    sleepFor(3000);
    for (int round = 0; round < rounds; ++round) {
        const std::string replacement = "i-new" + std::to_string(round + 1);
        const std::string old = group.primary();
        group.start(store, replacement, settings.zones[static_cast<size_t>(round)], 8710 + round);
        record("server " + replacement + " starts");
        sleepFor(2000);
        isTroubleDue = false;
        group.drain(store, old);
        if (!waitFor(6000, [&] { return isTroubleDue.load(); }))
            fail("no promotion was called");
        // All daemons read the store themselves. The one that carries out the change of primary is not turned away.
        std::set<std::string> refused;
        for (const Daemon* it : others)
            refused.insert(it->name);
        {
            std::lock_guard<std::mutex> lock(ownerMutex);
            refused.erase(owner);
        }
        const auto turnAway = [&](bool isSilent) {
            for (const auto& it : refused) {
                if (!isTroubled)
                    continue;
                record(isSilent ? "the store turns " + it + " away, without a response" : "the store serves " + it + " again");
                store.setSilent(it, isSilent);
            }
        };
        turnAway(true);
        sleepFor(silence);
        turnAway(false);
        sleepFor(5000);
    }
    isOver = true;
    for (auto& it : threads)
        it.join();
    const auto ended = fleet.ended();
    fleet.stop();

    std::map<std::string, Entry> kept;
    for (const auto& it : group.log())
        kept[it.statement] = it;
    int broken = 0;
    int reads = 0;
    int writes = 0;
    std::map<std::string, int> errors;
    for (const auto& log : logs) {
        const Operation* last = nullptr;
        for (const auto& it : log->operations) {
            if (it.error == "NEWSESSION")
                last = nullptr;
            if (!it.error.empty()) {
                ++errors[it.error];
                continue;
            }
            // A commit that a promotion rolled back does not count.
            if (it.isWrite && kept.count(it.statement) > 0)
                last = &it;
            ++(it.isWrite ? writes : reads);
            if (it.isWrite || !last || it.value >= last->value)
                continue;
            ++broken;
            const Entry& entry = kept[last->statement];
            record("STALE: session " + log->item + " at " + log->daemon + " had the commit " + last->statement + " (v" + std::to_string(last->value) + ", position " + std::to_string(entry.term) + "." + std::to_string(entry.number) + ") acknowledged at "
                + std::to_string(last->answeredAt) + "; its read " + it.statement + ", sent at " + std::to_string(it.sentAt) + ", got v" + std::to_string(it.value));
        }
    }
    std::ostringstream summary;
    summary << "trouble " << (isTroubled ? "on" : "off") << ": " << writes << " acknowledged writes, " << reads << " successful reads, " << broken << " reads that lack a commit of their own session";
    for (const auto& [error, n] : errors)
        summary << "; " << error << " " << n;
    record(summary.str());
    for (const auto& it : ended)
        record("daemon " + it + " ended by itself");
    writeRecord(argv[2]);
    std::cout << summary.str() << std::endl;
    std::_Exit(broken > 0 ? 1 : 0);
}
