#include "Fleet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <cstdio>
#include <filesystem>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace standin {

namespace {

    /// Ports from here on that nobody listens at on the addresses of the fleet.
    int freeBase()
    {
        std::random_device random;
        for (int attempt = 0; attempt < 100; ++attempt) {
            const int base = 20000 + static_cast<int>(random() % 400) * 20;
            bool isFree = true;
            for (int n = 0; n < 18 && isFree; ++n) {
                const int fd = socket(AF_INET, SOCK_STREAM, 0);
                sockaddr_in address {};
                address.sin_family = AF_INET;
                address.sin_port = htons(static_cast<uint16_t>(base + n));
                isFree = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
                close(fd);
            }
            if (isFree)
                return base;
        }
        return 20000;
    }

}

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device {}());
    std::lock_guard<std::mutex> lock(mutex);
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

const char* nameOf(Outcome::Kind kind)
{
    switch (kind) {
    case Outcome::Kind::Served:
        return "served";
    case Outcome::Kind::Refused:
        return "refused";
    case Outcome::Kind::Failed:
        return "failed";
    case Outcome::Kind::Unanswered:
        break;
    }
    return "not answered";
}

Outcome ask(const Daemon::Settings& daemon, const std::string& database, const std::string& id, const std::string& text, int timeoutMs)
{
    const int64_t until = nowMs() + timeoutMs;
    const auto left = [until] { return static_cast<int>(std::max<int64_t>(0, until - nowMs())); };
    Outcome outcome;
    const auto line = Line::connect(daemon.ip, daemon.port, timeoutMs);
    if (!line)
        return { Outcome::Kind::Failed, "no connection", "" };
    line->send("STARTUP " + database + " counter7\r\n");
    auto answer = line->readLine(left());
    if (answer && answer->rfind("READY", 0) == 0) {
        line->send("QUERY " + id + " " + text + "\r\n");
        while ((answer = line->readLine(left())) && answer->rfind("READY", 0) != 0) {
            if (answer->rfind("DATAROW ", 0) == 0) {
                outcome.row = answer->substr(8);
                continue;
            }
            outcome.text = *answer;
            outcome.kind = answer->rfind("COMPLETE", 0) == 0 ? Outcome::Kind::Served : Outcome::Kind::Refused;
        }
    } else if (answer) {
        return { Outcome::Kind::Refused, *answer, "" };
    }
    if (!answer)
        return { line->isClosed() ? Outcome::Kind::Failed : Outcome::Kind::Unanswered, line->isClosed() ? "the connection ended without an answer" : "no answer", "" };
    line->send("TERMINATE\r\n");
    return outcome;
}

Fleet::Fleet(FleetOptions options, Record& record)
    : m_options(std::move(options))
{
    char path[] = "/tmp/standin-3-XXXXXX";
    folder = mkdtemp(path);
    const int base = freeBase();
    // A network of its own on the loopback interface, so that several runs do not meet at the port in the deploy file.
    const std::string network = "127." + std::to_string(10 + std::random_device {}() % 240) + ".";
    service = std::make_unique<Service>("huvo11a", m_options.servers, record);
    const std::vector<std::string> zones { "sof-a", "sof-b", "plv-a" };
    for (size_t n = 0; n < zones.size(); ++n)
        service->addServer("i-" + newId().substr(0, 8), zones[n], network + "3." + std::to_string(11 + n), base);
    store = std::make_unique<Store>(network + "3.1", base, [this](const std::string& id, const std::string& holder, uint64_t fence) { return service->promote(id, holder, fence); });
    configure();
    service->start(*store);
    for (int n = 0; n < m_options.daemons; ++n) {
        Daemon::Settings settings;
        settings.zone = zones[static_cast<size_t>(n) % zones.size()];
        settings.name = "frontend-" + settings.zone + "-" + std::to_string(1 + n / static_cast<int>(zones.size()));
        settings.ip = network + "4." + std::to_string(1 + n);
        settings.port = base;
        settings.platform = network + "3.1:" + std::to_string(base);
        settings.zones = zones;
        settings.folder = folder;
        settings.command = m_options.arguments;
        settings.command.insert(settings.command.begin(), m_options.program);
        daemons.push_back(std::make_unique<Daemon>(std::move(settings)));
    }
}

// The threads of the stand-in run until the process ends.
void Fleet::finish(int status)
{
    for (const auto& it : daemons)
        it->end();
    for (const auto& it : std::filesystem::directory_iterator(folder))
        unlink(it.path().c_str());
    rmdir(folder.c_str());
    std::fflush(nullptr);
    std::_Exit(status);
}

void Fleet::configure(const std::string& moreRoutes)
{
    m_configuration += 3;
    const auto route = [this](const std::string& name, const std::string& host, const std::string& kind, int timeoutMs, int objectiveMs, const std::string& more) {
        return R"({"name":")" + name + R"(","host":")" + host + R"(","prefix":"/","kind":")" + kind + R"(","timeout-ms":)" + std::to_string(timeoutMs) + R"(,"target-latency-ms":)" + std::to_string(objectiveMs)
            + R"(,"priority":2,"service":")" + service->name() + R"(","max-attempts":2)" + more + "}";
    };
    const std::string routes = route("r-1", ordersDatabase, "primary", 800, 150, "") + "," + route("r-2", proofsDatabase, "read_your_writes", 800, 250, R"(,"max-staleness-ms":2500)") + ","
        + route("r-3", pricesDatabase, "bounded_staleness", 2000, 500, R"(,"max-staleness-ms":1500)") + moreRoutes;
    store->put("op", "config", R"({"version":)" + std::to_string(m_configuration) + R"(,"routes":[)" + routes + R"(],"services":[{"name":")" + service->name() + R"(","health-path":"/health","max-connections":)"
            + std::to_string(service->options().maxConnections) + R"(,"protocol":"h1","tls":false,"sync-replicas":)" + std::to_string(service->options().syncReplicas)
            + R"(}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000,"transaction-idle-ms":3000}})");
}

bool Fleet::awaitReady()
{
    const int64_t until = nowMs() + 20'000;
    while (nowMs() < until) {
        bool areReady = true;
        for (const auto& it : daemons)
            areReady = areReady && it->isReady(300);
        if (areReady && ask(daemons[0]->settings(), ordersDatabase, newId(), "WRITE ready yes", 1000).kind == Outcome::Kind::Served)
            return true;
        sleepMs(200);
    }
    return false;
}

}
