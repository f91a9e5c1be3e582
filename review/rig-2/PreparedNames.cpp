#include "Scenario.h"

#include <csignal>

// Clients of two daemons prepare statements of their own, some forty shapes for each daemon. One daemon is killed, and its clients go on at
// the other one.
namespace rig {

namespace {

    constexpr uint32_t clientsPerMachine = 10;
    constexpr uint32_t shapesPerClient = 4;

    struct Load {
        explicit Load(World& it)
            : world(it)
        {
        }

        World& world;
        std::atomic<bool> isStopping { false };
        std::atomic<uint64_t> acknowledged { 0 };
    };

    bool openSession(World& world, Client& client, uint32_t number, size_t& machine)
    {
        // Retries reach other daemons.
        for (size_t n = 0; n < world.fleet.size(); ++n) {
            const Machine& at = world.fleet.at(machine);
            if (client.open(at.host, at.frontendPort, "reorder")) {
                for (uint32_t k = 0; k < shapesPerClient; ++k) {
                    if (!client.ask("PREPARE s" + std::to_string(k) + " WRITE shape-of-client-" + std::to_string(number) + "-" + std::to_string(k)).isSuccess())
                        return false;
                }
                return true;
            }
            machine = (machine + 1) % world.fleet.size();
        }
        return false;
    }

    /// A transaction of two to four statements, or a single statement. False if the session has to be opened again.
    bool runOperation(Load& load, Client& client, std::mt19937& random)
    {
        const auto draw = [&random](uint32_t n) { return static_cast<uint32_t>(random() % n); };
        const auto execute = [&] { return client.ask("EXECUTE s" + std::to_string(draw(shapesPerClient)) + " item" + std::to_string(draw(50)) + " data" + std::to_string(draw(100000))); };
        const bool isTransaction = draw(10) < 6;
        if (isTransaction && !client.ask("BEGIN").isSuccess())
            return false;
        Answer answer;
        for (uint32_t n = isTransaction ? 2 + draw(3) : 1; n > 0; --n) {
            answer = execute();
            if (!answer.isSuccess())
                break;
        }
        if (answer.isSuccess() && isTransaction)
            answer = client.ask("COMMIT");
        if (answer.isSuccess())
            ++load.acknowledged;
        if (!answer.isComplete)
            return false;
        return answer.state == 'I' || client.ask("ROLLBACK").isSuccess();
    }

    void runClient(Load& load, uint32_t number, size_t machine)
    {
        std::mt19937 random(number + 1);
        Client client("c" + std::to_string(number), load.world.record, load.world.ledger);
        while (!load.isStopping) {
            if (!client.isOpen() && !openSession(load.world, client, number, machine)) {
                client.close();
                sleepMs(200);
                continue;
            }
            if (!runOperation(load, client, random))
                client.close();
            sleepMs(40 + random() % 80);
        }
    }

}

int runPreparedNames(const std::string& folder)
{
    DatabaseSettings settings;
    settings.service = service;
    // Never freed: the threads of the stand-ins and clients use it until the process ends.
    World& world = *new World(folder, settings, { "sof-a", "sof-b" });
    if (!world.start())
        return exitImpossible;
    Load& load = *new Load(world);
    for (uint32_t n = 0; n < clientsPerMachine * world.fleet.size(); ++n)
        std::thread(runClient, std::ref(load), n, n / clientsPerMachine).detach();
    constexpr int64_t calmMs = 10'000;
    constexpr int64_t restMs = 30'000;
    sleepMs(calmMs);
    if (world.hasTrouble) {
        world.fleet.signal(1, SIGKILL);
        sleepMs(1000);
        world.fleet.startMachine(1);
    }
    sleepMs(restMs);
    load.isStopping = true;
    sleepMs(1000);
    world.record.write("operations acknowledged: " + std::to_string(load.acknowledged));
    if (load.acknowledged == 0)
        return exitImpossible;
    return world.finish(world.database.violations());
}

}
