// A small fleet on the stand-in: the store, one service of three servers, daemons of the system in three zones, and callers.
#pragma once

#include "StandIn.h"

namespace standin {

/// How an operation ended for its caller.
struct Outcome {
    enum class Kind { Served, Refused, Failed, Unanswered };
    Kind kind { Kind::Unanswered };
    std::string text;
    std::string row;
};

/// One statement in a session of its own at a daemon.
Outcome ask(const Daemon::Settings&, const std::string& database, const std::string& id, const std::string& text, int timeoutMs);
const char* nameOf(Outcome::Kind);
std::string newId();

struct FleetOptions {
    int daemons { 3 };
    ServerOptions servers;
    std::string program { "target/platform/parsleypaddled-platform" };
    /// The arguments in the deploy file.
    std::vector<std::string> arguments { "--metrics", "9464" };
};

class Fleet {
public:
    Fleet(FleetOptions, Record&);
    /// Ends the daemons, removes the temporary folder and ends the process.
    [[noreturn]] void finish(int status);

    /// Writes the configuration with its version to the store. `routes` may add routes to the three of every configuration.
    void configure(const std::string& moreRoutes = "");
    /// False if the daemons are not ready in 20 s.
    bool awaitReady();

    std::vector<std::unique_ptr<Daemon>> daemons;
    std::unique_ptr<Service> service;
    std::unique_ptr<Store> store;
    /// Names of the databases, by the kind of their routes.
    std::string ordersDatabase { "orders7k" };
    std::string pricesDatabase { "prices2m" };
    std::string proofsDatabase { "proofs9x" };
    std::string folder;

private:
    FleetOptions m_options;
    uint64_t m_configuration { 6 };
};

}
