// Case: a primary that was replaced comes back while its successor crashes. The replicas receive nothing meanwhile.
#include "Fleet.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

using namespace standin;

namespace {

/// A commit counts for a read if it was acknowledged so long before the read arrived at the server, which is later than its first byte.
constexpr int64_t marginMs = 500;

void call(Fleet& fleet, Record& record, size_t number)
{
    for (size_t n = 0;; ++n) {
        const auto& daemon = fleet.daemons[(number + n) % fleet.daemons.size()]->settings();
        const std::string id = newId();
        const std::string text = number % 2 == 0 ? "WRITE c" + std::to_string(number) + " " + id : "READ c" + std::to_string(number - 1);
        const Outcome outcome = ask(daemon, fleet.ordersDatabase, id, text, 2500);
        record.line(daemon.name + " " + id + " " + text + ": " + nameOf(outcome.kind) + " " + outcome.row + " " + outcome.text);
        sleepMs(50);
    }
}

bool awaitPrimary(Fleet& fleet, const std::string& other, int64_t ms)
{
    for (const int64_t until = nowMs() + ms; nowMs() < until; sleepMs(5)) {
        if (fleet.service->primary() != other)
            return true;
    }
    return false;
}

}

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    const bool hasTrouble = !std::getenv("TROUBLE") || std::strcmp(std::getenv("TROUBLE"), "0") != 0;
    Record record(argc > 1 ? argv[1] : "record.txt");
    Fleet fleet({}, record);
    for (const auto& it : fleet.daemons)
        it->start(open((fleet.folder + "/" + it->settings().name + ".log").c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
    if (!fleet.awaitReady()) {
        record.line("the case could not run: the daemons are not ready");
        fleet.finish(2);
    }
    for (size_t n = 0; n < 12; ++n)
        std::thread([&fleet, &record, n] { call(fleet, record, n); }).detach();
    sleepMs(3000);
    Service& service = *fleet.service;
    const std::string first = service.primary();
    if (hasTrouble) {
        for (const auto& it : service.ids()) {
            if (it != first)
                service.setDeaf(it, true);
        }
        sleepMs(1500);
        service.crash(first, false);
        if (!awaitPrimary(fleet, first, 3000)) {
            record.line("the case could not run: nothing was promoted in time");
            fleet.finish(2);
        }
        const std::string second = service.primary();
        sleepMs(2000);
        service.crash(second, false);
        service.restart(first);
        awaitPrimary(fleet, second, 2000);
        for (const auto& it : service.ids())
            service.setDeaf(it, false);
    } else
        sleepMs(5500);
    sleepMs(4000);
    const auto stale = service.staleReads(marginMs);
    for (const auto& it : stale)
        record.line("STALE: " + it);
    record.line("reads that servers ran: " + std::to_string(service.reads()) + ", of them on a log without a commit that was acknowledged before and is kept: " + std::to_string(stale.size()));
    record.line(stale.empty() ? "STALE held" : "STALE is broken");
    fleet.finish(stale.empty() ? 0 : 1);
}
