// The operator adds and drops a route while the platform's store turns three machines away for a moment.

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
constexpr int daemons = 9;
constexpr int refusedDaemons = 3;
constexpr double silence = 400;
constexpr double stabilityWindow = 4000;
constexpr double configApply = 3000;
/// Requests are judged from this long after the later one of the two bounds on.
constexpr double margin = 200;

std::string route(const std::string& name, const std::string& database, int timeout)
{
    return R"({"name":")" + name + R"(","host":")" + database + R"(","prefix":"/","kind":"primary","timeout-ms":)" + std::to_string(timeout) + R"(,"target-latency-ms":150,"priority":1,"service":")" + service + R"(","max-attempts":2})";
}

std::string configuration(int version, const std::vector<std::string>& routes)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (size_t n = 0; n < routes.size(); ++n)
        text += (n > 0 ? "," : "") + routes[n];
    return text + R"(],"services":[{"name":")" + service + R"(","health-path":"/health","max-connections":38,"protocol":"h1","tls":false,"sync-replicas":0}],"limits":{"transaction-idle-ms":3000}})";
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
        std::cerr << "usage: configuration FOLDER RECORD\n";
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
    Store* storeForCalls = nullptr;
    Store store([&](const std::string&, const std::string& id, const std::string& holder, uint64_t) {
        record("promotion of " + id + " by " + holder);
        return group.promote(*storeForCalls, id);
    });
    storeForCalls = &store;
    FleetSettings settings;
    settings.zones = { "zone-a", "zone-b", "zone-c", "zone-d" };
    settings.storeHost = host;
    settings.folder = argv[1];
    Fleet fleet(settings, prefix);
    const std::string kept = route("r1", "reorder", 800);
    const std::string old = route("r2", "dropped", 800);
    const std::string added = route("r3", "added", 800);
    store.put("op", "config", configuration(7, { kept, old }));
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

    // The operator writes two versions, one second after the other.
    store.put("op", "config", configuration(9, { route("r1", "reorder", 900), old }));
    record("version 9 is acknowledged: a timeout has changed");
    sleepFor(800);
    const auto turnAway = [&](bool isSilent) {
        for (int n = 0; isTroubled && n < refusedDaemons; ++n) {
            const std::string& name = fleet.daemons()[static_cast<size_t>(n) * 3]->name;
            record(isSilent ? "the store turns " + name + " away, without a response" : "the store serves " + name + " again");
            store.setSilent(name, isSilent);
        }
    };
    turnAway(true);
    sleepFor(silence / 3);
    store.put("op", "config", configuration(12, { route("r1", "reorder", 900), added }));
    const double acknowledgedAt = now();
    record("version 12 is acknowledged: route added, route dropped");
    sleepFor(silence * 2 / 3);
    turnAway(false);
    const double stableAt = now();
    const double judgedFrom = std::max(acknowledgedAt + configApply, stableAt + stabilityWindow) + margin;

    int broken = 0;
    int asked = 0;
    for (int round = 0; now() < judgedFrom + 6000; ++round) {
        for (auto& it : fleet.daemons()) {
            for (const std::string database : { "added", "dropped" }) {
                const double sentAt = now();
                const std::string statement = "q" + std::to_string(round) + it->name + database;
                auto connection = Connection::connect(it->ip, 8784, 1000);
                if (!connection || !connection->send("STARTUP " + database + " u1\r\n"))
                    continue;
                const std::string greeting = connection->readLine(2000).value_or("no answer");
                std::string result = greeting;
                if (greeting.rfind("READY", 0) == 0) {
                    connection->send("QUERY " + statement + " READ item1\r\n");
                    result = "";
                    while (const auto line = connection->readLine(3000)) {
                        result += (result.empty() ? "" : " / ") + *line;
                        if (line->rfind("READY", 0) == 0)
                            break;
                    }
                }
                const bool isOld = database == "added" ? greeting.rfind("ERROR NODB", 0) == 0 : result.find("COMPLETE " + std::string("i-")) != std::string::npos;
                const bool isJudged = sentAt >= judgedFrom;
                asked += isJudged ? 1 : 0;
                broken += isJudged && isOld ? 1 : 0;
                std::ostringstream line;
                line << (isJudged && isOld ? "CONFIG: " : isOld ? "old: " : "") << it->name << ", database " << database << ", sent " << sentAt - acknowledgedAt << " ms after the acknowledgement, " << sentAt - stableAt << " ms after the store served all again: " << result;
                record(line.str());
            }
        }
        sleepFor(300);
    }
    const auto ended = fleet.ended();
    fleet.stop();
    std::ostringstream summary;
    summary << "trouble " << (isTroubled ? "on" : "off") << ": " << asked << " judged requests, " << broken << " handled as only an older version allows";
    record(summary.str());
    writeRecord(argv[2]);
    std::cout << summary.str() << std::endl;
    std::_Exit(broken > 0 ? 1 : 0);
}
