#include "Scenario.h"

#include <csignal>
#include <cstdlib>

namespace rig {

namespace {

    std::string configurationOf(const DatabaseSettings& settings)
    {
        const auto route = [&settings](const char* name, const char* host, const char* kind) {
            return std::string(R"({"name": ")") + name + R"(", "host": ")" + host + R"(", "prefix": "/", "kind": ")" + kind + R"(", "service": ")" + settings.service
                + R"(", "timeout-ms": 800, "target-latency-ms": 250, "priority": 1, "max-staleness-ms": 2500})";
        };
        return R"({"version": 3, "routes": [)" + route("r1", "reorder", "primary") + ", " + route("r2", "proof", "read_your_writes") + ", " + route("r3", "price-check", "bounded_staleness")
            + R"(], "services": [{"name": ")" + settings.service + R"(", "max-connections": )" + std::to_string(settings.maxConnections) + R"(, "sync-replicas": )" + std::to_string(settings.syncReplicas)
            + R"(}], "limits": {"transaction-idle-ms": 3000}})";
    }

}

World::World(const std::string& folder, DatabaseSettings settings, std::vector<std::string> zones)
    : World(folder, std::move(settings), std::move(zones), Fleet::host(2), freePort(Fleet::host(2)))
{
}

World::World(const std::string& folder, DatabaseSettings settings, std::vector<std::string> zones, const std::string& host, uint16_t storePort)
    : record(std::getenv("RECORD") ? std::getenv("RECORD") : folder + "/record.txt")
    , store(host, storePort, [this](const std::string& name, const std::string& id, const std::string& holder, const std::string& fence) { return name == m_settings.service ? database.promote(id, holder, fence) : 409; })
    , database(settings, store, record, ledger)
    , fleet({ host + ":" + std::to_string(storePort), host + ":" + std::to_string(storePort), static_cast<uint32_t>(zones.size()), zones, folder }, record)
    , hasTrouble(!std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0")
    , m_settings(std::move(settings))
{
}

bool World::start()
{
    store.put("op", "config", configurationOf(m_settings));
    const std::vector<std::pair<std::string, std::string>> servers { { "i-a", "sof-a" }, { "i-b", "sof-b" }, { "i-c", "plv-a" } };
    uint32_t last = 3;
    for (const auto& [id, zone] : servers) {
        const std::string host = Fleet::host(last++);
        if (!store.isOpen() || !database.addServer(id, zone, host, freePort(host)))
            return false;
    }
    return fleet.start();
}

int World::finish(const std::vector<std::string>& broken)
{
    for (const auto& it : broken)
        record.write("BROKEN " + it);
    const std::string result = broken.empty() ? "the rule held" : "the rule was broken " + std::to_string(broken.size()) + " times";
    record.write("result: " + result);
    std::printf("%s (TROUBLE=%d)\n", result.c_str(), hasTrouble ? 1 : 0);
    for (size_t n = 0; n < broken.size() && n < 3; ++n)
        std::printf("  %s\n", broken[n].c_str());
    std::fflush(stdout);
    for (size_t n = 0; n < fleet.size(); ++n)
        fleet.signal(n, SIGKILL);
    return broken.empty() ? exitHeld : exitBroken;
}

}
