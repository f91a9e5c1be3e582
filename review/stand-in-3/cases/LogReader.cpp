// Case: the process that reads the daemons' logs stops reading for a while.
//
// As under a supervisor with a log service, each machine has a pipe: the daemon's standard output and error go into it, and a reader writes
// them to a file. The pipe outlives the daemon's process. All processes of the system are killed and started again, as at the end of a day,
// with callers that go on. With TROUBLE=1 the readers are stopped (SIGSTOP) at that moment.
#include "Fleet.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace standin;

namespace {

constexpr int64_t recoveryMs = 12'000;
constexpr int64_t trafficBeforeMs = 8'000;
constexpr int64_t downMs = 1'000;
constexpr int64_t judgedMs = 12'000;

struct LogReader {
    int input { -1 };
    int pid { -1 };
};

LogReader startReader(const std::string& file)
{
    int pipe[2];
    if (pipe2(pipe, O_CLOEXEC) != 0)
        std::_Exit(2);
    const int output = open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    const int pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        // A stopped process is continued when its process group becomes orphaned, as when the shell ends that runs the case.
        setsid();
        close(pipe[1]);
        char chunk[16384];
        for (ssize_t n = read(pipe[0], chunk, sizeof(chunk)); n > 0; n = read(pipe[0], chunk, sizeof(chunk)))
            (void)!write(output, chunk, static_cast<size_t>(n));
        _exit(0);
    }
    close(pipe[0]);
    close(output);
    return { pipe[1], pid };
}

/// What callers asked and got, by the time at which they asked.
struct Counts {
    int asked { 0 };
    int served { 0 };
    int unanswered { 0 };
};

class Traffic {
public:
    Traffic(Fleet& fleet, Record& record)
        : m_fleet(fleet)
        , m_record(record)
    {
    }

    void start()
    {
        std::thread([this] { balance(); }).detach();
        for (size_t daemon = 0; daemon < m_fleet.daemons.size(); ++daemon) {
            for (int n = 0; n < callersPerDaemon; ++n)
                std::thread([this, daemon, n] { call(daemon, n); }).detach();
        }
    }

    Counts between(int64_t from, int64_t to)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        Counts counts;
        for (const auto& [at, kind] : m_outcomes) {
            if (at < from || at >= to)
                continue;
            ++counts.asked;
            counts.served += kind == Outcome::Kind::Served ? 1 : 0;
            counts.unanswered += kind == Outcome::Kind::Unanswered ? 1 : 0;
        }
        return counts;
    }

private:
    static constexpr int callersPerDaemon = 60;

    /// Asks each daemon once a second whether it is ready; after two misses it gets no new connections until it is ready again.
    void balance()
    {
        std::vector<int> misses(m_fleet.daemons.size(), 0);
        for (;; sleepMs(1000)) {
            for (size_t n = 0; n < misses.size(); ++n) {
                misses[n] = m_fleet.daemons[n]->isReady() ? 0 : misses[n] + 1;
                m_isOut[n] = misses[n] >= 2;
            }
        }
    }

    /// The daemon of the caller's zone, or another one if that is out of rotation; all count if none is in rotation.
    size_t choose(size_t own, int number) const
    {
        for (size_t n = 0; n < m_fleet.daemons.size(); ++n) {
            const size_t daemon = m_isOut[own] ? (own + static_cast<size_t>(number) + n) % m_fleet.daemons.size() : own;
            if (!m_isOut[daemon])
                return daemon;
        }
        return own;
    }

    void call(size_t own, int number)
    {
        for (int n = 0;; ++n) {
            const size_t daemon = choose(own, number);
            const int64_t at = nowMs();
            const bool isWrite = n % 5 == 0;
            const std::string database = number % 3 == 0 ? m_fleet.ordersDatabase : number % 3 == 1 ? m_fleet.proofsDatabase : m_fleet.pricesDatabase;
            const std::string id = newId();
            const std::string text = isWrite && number % 3 != 2 ? "WRITE c" + std::to_string(number) + " " + id : "READ c" + std::to_string(number);
            const Outcome outcome = ask(m_fleet.daemons[daemon]->settings(), database, id, text, 2500);
            m_record.line(m_fleet.daemons[daemon]->settings().name + " " + id + " " + text + ": " + nameOf(outcome.kind) + " " + outcome.text);
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                m_outcomes.emplace_back(at, outcome.kind);
            }
            sleepMs(std::max<int64_t>(0, at + 150 - nowMs()));
        }
    }

    Fleet& m_fleet;
    Record& m_record;
    std::array<std::atomic<bool>, 3> m_isOut {};
    std::mutex m_mutex;
    std::vector<std::pair<int64_t, Outcome::Kind>> m_outcomes;
};

}

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    const bool hasTrouble = !std::getenv("TROUBLE") || std::strcmp(std::getenv("TROUBLE"), "0") != 0;
    Record record(argc > 1 ? argv[1] : "record.txt");
    FleetOptions options;
    options.servers.workMs = 15;
    Fleet fleet(options, record);
    std::vector<LogReader> readers;
    const auto endReaders = [&readers] {
        for (const auto& it : readers) {
            kill(it.pid, SIGCONT);
            kill(it.pid, SIGKILL);
            waitpid(it.pid, nullptr, 0);
        }
    };
    for (const auto& it : fleet.daemons) {
        readers.push_back(startReader(fleet.folder + "/" + it->settings().name + ".log"));
        it->start(readers.back().input);
    }
    if (!fleet.awaitReady()) {
        record.line("the case could not run: the daemons are not ready");
        endReaders();
        fleet.finish(2);
    }
    Traffic traffic(fleet, record);
    const int64_t begin = nowMs();
    traffic.start();
    sleepMs(trafficBeforeMs);
    const int64_t fault = nowMs();
    fleet.configure();
    if (hasTrouble) {
        for (const auto& it : readers)
            kill(it.pid, SIGSTOP);
        record.line("the readers of the logs are stopped");
    }
    for (const auto& it : fleet.daemons)
        it->signal(SIGKILL);
    record.line("all processes of the system are killed");
    sleepMs(downMs);
    for (size_t n = 0; n < fleet.daemons.size(); ++n) {
        fleet.daemons[n]->hasEnded();
        fleet.daemons[n]->start(readers[n].input);
    }
    const int64_t back = nowMs();
    record.line("all processes of the system are started again");
    sleepMs(recoveryMs + judgedMs);
    const Counts before = traffic.between(begin, fault);
    const Counts after = traffic.between(back + recoveryMs, nowMs() - 2500);
    int readyDaemons = 0;
    for (const auto& it : fleet.daemons)
        readyDaemons += it->isReady() ? 1 : 0;
    for (const auto& it : readers)
        kill(it.pid, SIGCONT);
    sleepMs(3000);
    int resumedDaemons = 0;
    for (const auto& it : fleet.daemons)
        resumedDaemons += it->isReady() ? 1 : 0;
    const auto text = [](const Counts& it) { return std::to_string(it.served) + " of " + std::to_string(it.asked) + " served, " + std::to_string(it.unanswered) + " not answered in 2.5 s"; };
    record.line("before the fault: " + text(before));
    record.line("later than 12 s after the machines were back: " + text(after));
    record.line(std::to_string(readyDaemons) + " of " + std::to_string(fleet.daemons.size()) + " daemons answer their readiness question; 3 s after all readers read again: " + std::to_string(resumedDaemons));
    const bool wasServed = before.served * 4 >= before.asked && before.asked > 0;
    const bool isServed = after.served * 4 >= after.asked && after.asked > 0;
    record.line(!wasServed ? "the case could not run" : isServed ? "RECOVER held" : "RECOVER is broken");
    endReaders();
    fleet.finish(!wasServed ? 2 : isServed ? 0 : 1);
}
