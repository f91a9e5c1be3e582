#include "Scenario.h"

// The primary of a busy database stutters now and then: for a tenth of a second it sends each answer twice, the second time late.
namespace rig {

namespace {

    struct Load {
        explicit Load(World& it)
            : world(it)
        {
        }

        World& world;
        std::atomic<bool> isStopping { false };
        std::atomic<uint64_t> acknowledged { 0 };
        std::atomic<uint64_t> refused { 0 };
        std::mutex mutex;
        /// Writes whose attempts ended with a promise that nothing is kept, with the code.
        std::vector<std::pair<std::string, std::string>> promises;
        std::vector<std::string> mixed;
    };

    void runClient(Load& load, uint32_t number)
    {
        std::mt19937 random(number + 1);
        World& world = load.world;
        Client client("c" + std::to_string(number), world.record, world.ledger);
        size_t machine = number % world.fleet.size();
        while (!load.isStopping) {
            const Machine& at = world.fleet.at(machine);
            if (!client.isOpen() && !client.open(at.host, at.frontendPort, "reorder")) {
                machine = (machine + 1) % world.fleet.size();
                sleepMs(50);
                continue;
            }
            const std::string item = "item" + std::to_string(random() % 50);
            const bool isWrite = random() % 2 == 0;
            const Answer answer = client.ask(isWrite ? "WRITE " + item + " data" + std::to_string(random() % 100000) : "READ " + item);
            if (!answer.isComplete) {
                client.close();
                continue;
            }
            if (answer.isSuccess()) {
                ++load.acknowledged;
                const std::lock_guard<std::mutex> lock(load.mutex);
                if (answer.signature != world.database.signatureOf(client.lastId()))
                    load.mixed.push_back("MIXED: " + client.lastId() + " got the signature " + answer.signature + ", not that of its own run");
            } else if (isPromise(answer.error)) {
                ++load.refused;
                const std::lock_guard<std::mutex> lock(load.mutex);
                if (isWrite)
                    load.promises.emplace_back(client.lastId(), answer.error);
            }
            sleepMs(answer.isSuccess() ? random() % 10 : 20 + random() % 40);
        }
    }

}

int runStutteringServer(const std::string& folder)
{
    DatabaseSettings settings;
    settings.service = service;
    settings.queue = 8;
    // Never freed: the threads of the stand-ins and clients use it until the process ends.
    World& world = *new World(folder, settings, { "sof-a", "sof-b", "plv-a" });
    if (!world.start())
        return exitImpossible;
    Load& load = *new Load(world);
    constexpr uint32_t clients = 30;
    for (uint32_t n = 0; n < clients; ++n)
        std::thread(runClient, std::ref(load), n).detach();
    sleepMs(3000);
    constexpr int periods = 20;
    for (int n = 0; n < periods; ++n) {
        if (world.hasTrouble)
            world.database.setStuttering("i-a", true);
        sleepMs(100);
        if (world.hasTrouble)
            world.database.setStuttering("i-a", false);
        sleepMs(900);
    }
    load.isStopping = true;
    sleepMs(2000);
    const auto commits = world.database.commitsAt(world.database.primary());
    const std::lock_guard<std::mutex> lock(load.mutex);
    std::vector<std::string> broken = load.mixed;
    for (const auto& [id, code] : load.promises) {
        if (commits.count(id) > 0)
            broken.push_back("REFUSED: the client was told " + code + " for the write " + id + ", which is committed");
    }
    for (const auto& it : world.database.violations())
        broken.push_back(it);
    world.record.write("answered with success: " + std::to_string(load.acknowledged) + ", with a promise: " + std::to_string(load.refused));
    if (load.acknowledged == 0 || load.refused == 0)
        return exitImpossible;
    return world.finish(broken);
}

}
