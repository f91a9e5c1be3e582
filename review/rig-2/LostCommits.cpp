#include "Scenario.h"

#include <csignal>

// With sync-replicas 1, the primary crashes while one of two replicas receives nothing, so that every acknowledged commit is in the log of the
// other one. That one is about to be replaced, or its zone is cut off for some seconds.
namespace rig {

namespace {

    struct Acknowledged {
        std::mutex mutex;
        std::map<std::string, int64_t> commits;
    };

    void runClient(World& world, Acknowledged& acknowledged, const std::atomic<bool>& isStopping, uint32_t number)
    {
        std::mt19937 random(number + 1);
        Client client("c" + std::to_string(number), world.record, world.ledger);
        size_t machine = number % world.fleet.size();
        while (!isStopping) {
            const Machine& at = world.fleet.at(machine);
            if (!client.isOpen() && !client.open(at.host, at.frontendPort, "reorder")) {
                machine = (machine + 1) % world.fleet.size();
                sleepMs(100);
                continue;
            }
            const std::string write = "WRITE item" + std::to_string(random() % 50) + " data" + std::to_string(random() % 100000);
            const bool isTransaction = random() % 4 == 0;
            Answer answer = isTransaction ? client.ask("BEGIN") : client.ask(write);
            if (isTransaction && answer.isSuccess())
                answer = client.ask(write);
            if (isTransaction && answer.isSuccess())
                answer = client.ask("COMMIT");
            if (answer.isSuccess()) {
                const std::lock_guard<std::mutex> lock(acknowledged.mutex);
                acknowledged.commits[client.lastId()] = nowMs();
            }
            if (!answer.isComplete || (answer.state != 'I' && !client.ask("ROLLBACK").isSuccess()))
                client.close();
            sleepMs(40 + random() % 60);
        }
    }

    int runLostCommits(const std::string& folder, std::vector<std::string> zones, void (*trouble)(Database&))
    {
        DatabaseSettings settings;
        settings.service = service;
        settings.syncReplicas = 1;
        // Never freed: the threads of the stand-ins and clients use it until the process ends.
        World& world = *new World(folder, settings, std::move(zones));
        if (!world.start())
            return exitImpossible;
        auto& acknowledged = *new Acknowledged;
        static std::atomic<bool> isStopping { false };
        constexpr uint32_t clients = 9;
        for (uint32_t n = 0; n < clients; ++n)
            std::thread(runClient, std::ref(world), std::ref(acknowledged), std::cref(isStopping), n).detach();
        sleepMs(8000);
        if (world.hasTrouble)
            trouble(world.database);
        else
            sleepMs(9000);
        isStopping = true;
        sleepMs(1000);
        std::vector<std::string> broken;
        const auto promotions = world.database.promotions();
        std::map<std::string, int64_t> commits;
        {
            const std::lock_guard<std::mutex> lock(acknowledged.mutex);
            commits = acknowledged.commits;
        }
        world.record.write("commits acknowledged to clients: " + std::to_string(commits.size()) + ", promotions: " + std::to_string(promotions.size()));
        if (commits.empty())
            return exitImpossible;
        for (const auto& promotion : promotions) {
            for (const auto& [id, at] : commits) {
                if (at < promotion.at && promotion.commits.count(id) == 0)
                    broken.push_back("LOST: the commit " + id + " was acknowledged " + std::to_string(promotion.at - at) + " ms before the promotion of " + promotion.id + ", whose log lacks it");
            }
        }
        for (const auto& it : world.database.violations())
            broken.push_back(it);
        return world.finish(broken);
    }

    void crashBesideDraining(Database& database)
    {
        database.drain("i-b");
        sleepMs(1500);
        database.setDeaf("i-c", true);
        sleepMs(2000);
        database.crash("i-a");
        sleepMs(4000);
        database.setDeaf("i-c", false);
        sleepMs(1500);
    }

    void crashBesideCut(Database& database)
    {
        database.setDeaf("i-c", true);
        sleepMs(2000);
        database.setCut("i-b", true);
        database.crash("i-a");
        sleepMs(4000);
        database.setDeaf("i-c", false);
        sleepMs(1500);
        database.setCut("i-b", false);
        sleepMs(1500);
    }

    // All three servers live on and reach each other, apart from what i-c receives.
    void releaseBesideDeaf(Database& database)
    {
        database.setDeaf("i-c", true);
        sleepMs(1000);
        database.drain("i-b");
        sleepMs(1000);
        database.drain("i-a");
        sleepMs(4000);
        database.setDeaf("i-c", false);
        sleepMs(1500);
    }

}

int runDrainingReplica(const std::string& folder)
{
    return runLostCommits(folder, { "sof-a", "sof-b", "plv-a" }, crashBesideDraining);
}

int runUnreachedReplica(const std::string& folder)
{
    return runLostCommits(folder, { "sof-a", "plv-a", "pern-a" }, crashBesideCut);
}

int runPlannedRelease(const std::string& folder)
{
    return runLostCommits(folder, { "sof-a", "sof-b", "plv-a" }, releaseBesideDeaf);
}

}
