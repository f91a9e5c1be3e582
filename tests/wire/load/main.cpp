#include "net/SignalWatch.h"
#include "wire/load/BackEnd.h"
#include "wire/load/Caller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <cstdlib>
#include <getopt.h>
#include <iostream>

namespace {

using namespace parsleypaddle;
using namespace parsleypaddle::wire;

constexpr const char* usage = "usage: wire-load --targets-at PORT --callers-at PORT[,PORT...] [--seed N] [--seconds N] [--callers N] [--second-answer-every N] [--prepare-often]\n"
                              "  -t, --targets-at PORT           serves three targets of standin-group at PORT and the next two ports\n"
                              "  -c, --callers-at PORTS          addresses of daemons on loopback at which callers open sessions\n"
                              "  -s, --seed N                    of texts, operations and delays; 1 by default\n"
                              "  -d, --seconds N                 how long callers begin operations; 10 by default\n"
                              "  -n, --callers N                 24 by default\n"
                              "  -2, --second-answer-every N     targets send every Nth answer once more, up to 2 s later; 0, none, by default\n"
                              "  -m, --max-connections N         of a target, from all daemons; 34 by default\n"
                              "  -p, --prepare-often             callers prepare many statements under few names, and set no values\n"
                              "Callers begin with SIGHUP, so that daemons can start once the targets listen.\n"
                              "The exit status is 2 when an answer, an id or a text was not as sent, and 3 when less than half was served.\n";

struct Options {
    uint16_t targetsAt { 0 };
    std::vector<uint16_t> callersAt;
    uint64_t seed { 1 };
    double seconds { 10 };
    size_t callers { 24 };
    size_t secondAnswerEvery { 0 };
    size_t maxConnections { 34 };
    bool preparesOften { false };
};

bool readPorts(const char* text, std::vector<uint16_t>& ports)
{
    for (const absl::string_view it : absl::StrSplit(text, ',')) {
        uint32_t port = 0;
        if (!absl::SimpleAtoi(it, &port) || port == 0 || port > UINT16_MAX)
            return false;
        ports.push_back(static_cast<uint16_t>(port));
    }
    return true;
}

bool readOption(int key, Options& options)
{
    std::vector<uint16_t> ports;
    switch (key) {
    case 't':
        if (!readPorts(optarg, ports) || ports.front() > UINT16_MAX - 2)
            return false;
        options.targetsAt = ports.front();
        return true;
    case 'c':
        return readPorts(optarg, options.callersAt);
    case 's':
        return absl::SimpleAtoi(optarg, &options.seed);
    case 'd':
        return absl::SimpleAtod(optarg, &options.seconds);
    case 'm':
        return absl::SimpleAtoi(optarg, &options.maxConnections);
    case 'n':
        return absl::SimpleAtoi(optarg, &options.callers);
    case 'p':
        options.preparesOften = true;
        return true;
    case '2':
        return absl::SimpleAtoi(optarg, &options.secondAnswerEvery);
    default:
        return false;
    }
}

bool readOptions(int argc, char** argv, Options& options)
{
    static const option names[] = {
        { "targets-at", required_argument, nullptr, 't' },
        { "callers-at", required_argument, nullptr, 'c' },
        { "seed", required_argument, nullptr, 's' },
        { "seconds", required_argument, nullptr, 'd' },
        { "max-connections", required_argument, nullptr, 'm' },
        { "callers", required_argument, nullptr, 'n' },
        { "second-answer-every", required_argument, nullptr, '2' },
        { "prepare-often", no_argument, nullptr, 'p' },
        { nullptr, 0, nullptr, 0 },
    };
    for (int it = 0; (it = getopt_long(argc, argv, "t:c:s:d:m:n:2:p", names, nullptr)) != -1;) {
        if (!readOption(it, options))
            return false;
    }
    return options.targetsAt != 0 && !options.callersAt.empty();
}

void print(const Group& group, const CallerGroup& callers, const Ledger& ledger)
{
    std::cout << "statements: " << ledger.statements() << "\nserved: " << callers.served << "\nrefused: " << callers.refused << "\nbroken: " << callers.broken << '\n';
    for (const auto& [code, n] : callers.codes)
        std::cout << "  " << printable(code) << ": " << n << '\n';
    std::cout << "second answers: " << group.secondAnswers << '\n';
    ledger.print(std::cout);
}

absl::StatusOr<std::vector<std::unique_ptr<BackEnd>>> createBackEnds(Group& group, uint16_t firstPort)
{
    std::vector<std::unique_ptr<BackEnd>> backEnds;
    for (const char* id : { "one", "two", "three" }) {
        auto backEnd = BackEnd::create(group, id, backEnds.empty(), static_cast<uint16_t>(firstPort + backEnds.size()));
        if (!backEnd.ok())
            return backEnd.status();
        backEnds.push_back(*std::move(backEnd));
    }
    return backEnds;
}

int run(const Options& options)
{
    // The last requests are answered in this time, and second answers still come.
    constexpr Milliseconds rest { 2500 };
    auto created = PollLoop::create();
    if (!created.ok())
        return 1;
    PollLoop& loop = **created;
    Ledger ledger;
    Group group { loop, ledger, RandomTexts(options.seed), "standin-group", options.secondAnswerEvery, options.maxConnections };
    CallerGroup callerGroup { loop, ledger, RandomTexts(options.seed + 1), options.callersAt, options.preparesOften };
    std::vector<std::unique_ptr<Caller>> callers;
    const auto begin = [&] {
        while (callers.size() < options.callers) {
            callers.push_back(std::make_unique<Caller>(callerGroup));
            callers.back()->start();
        }
        loop.after(Milliseconds(options.seconds * 1000), [&] { callerGroup.isStopping = true; });
        loop.after(Milliseconds(options.seconds * 1000) + rest, [&loop] { loop.stop(); });
    };
    const SignalWatch signals(
        loop, [&loop] { loop.stop(); }, begin);
    const auto backEnds = createBackEnds(group, options.targetsAt);
    if (!backEnds.ok()) {
        std::cerr << "wire-load: " << backEnds.status().message() << '\n';
        return 1;
    }
    std::cout << "ready, seed " << options.seed << std::endl;
    loop.run();
    ledger.finish();
    print(group, callerGroup, ledger);
    if (ledger.troubles() > 0)
        return 2;
    return callerGroup.served <= callerGroup.refused + callerGroup.broken ? 3 : 0;
}

}

int main(int argc, char** argv)
{
    Options options;
    if (!readOptions(argc, argv, options)) {
        std::cerr << usage;
        return 1;
    }
    const int status = run(options);
    std::cout.flush();
    std::quick_exit(status);
}
