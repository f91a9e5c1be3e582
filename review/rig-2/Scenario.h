#pragma once

#include "Client.h"
#include "Database.h"
#include "Fleet.h"

#include <atomic>
#include <random>

namespace rig {

constexpr const char* service = "orders-db-1";
constexpr int exitBroken = 1;
constexpr int exitHeld = 0;
constexpr int exitImpossible = 2;

/// The platform, one database and the daemons of a script.
class World {
public:
    /// `zones`: those of the machines, of which there is one for each.
    World(const std::string& folder, DatabaseSettings, std::vector<std::string> zones);

    /// Starts the servers i-a (the primary), i-b and i-c, writes the configuration, and starts the daemons.
    bool start();

    Record record;
    Ledger ledger;
    Store store;
    Database database;
    Fleet fleet;
    bool hasTrouble;

    int finish(const std::vector<std::string>& broken);

private:
    World(const std::string& folder, DatabaseSettings, std::vector<std::string> zones, const std::string& host, uint16_t storePort);

    DatabaseSettings m_settings;
};

int runPreparedNames(const std::string& folder);
int runDrainingReplica(const std::string& folder);
int runUnreachedReplica(const std::string& folder);
int runPlannedRelease(const std::string& folder);
int runStutteringServer(const std::string& folder);

}
