#pragma once

#include "Net.h"

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace rig {

/// A daemon of the fleet, started with the command of the deploy file.
struct Daemon {
    std::string name;
    std::string zone;
    std::string ip;
    pid_t process { -1 };
};

struct FleetSettings {
    std::vector<std::string> zones;
    std::string storeHost;
    std::string folder;
    /// The port for promotions for the first daemon, like the store's.
    int cloudPort { 8900 };
    /// The store's port for the first daemon; each further one has the next.
    int storePort { 8800 };
};

/// A prefix of loopback addresses, like 127.70.3, of which the first ones are free.
std::string freePrefix();

class Fleet {
public:
    Fleet(FleetSettings, std::string prefix);
    ~Fleet();

    Daemon& add(const std::string& zone);
    void start(Daemon&);
    static void signal(Daemon&, int signal);
    bool isReady(const Daemon&) const;
    /// The body of a page of the daemon's metrics port.
    static std::string metrics(const Daemon&);
    int storePortOf(const Daemon& daemon) const { return m_settings.storePort + numberOf(daemon); }
    int cloudPortOf(const Daemon& daemon) const { return m_settings.cloudPort + numberOf(daemon); }
    std::vector<std::unique_ptr<Daemon>>& daemons() { return m_daemons; }
    /// Daemons that have ended by themselves.
    std::vector<std::string> ended();
    /// Ends all daemons.
    void stop();

private:
    int numberOf(const Daemon&) const;

    FleetSettings m_settings;
    std::string m_prefix;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

/// Status and body of a GET request; status 0 without an answer.
std::pair<int, std::string> httpGet(const std::string& host, int port, const std::string& path, double timeout);

/// The answer to one statement.
struct Answer {
    /// Empty after a success; "CLOSED" without an answer.
    std::string error;
    std::vector<std::string> rows;
    std::string signature;
    std::string state;
};

/// A client's session.
class Client {
public:
    /// Null if no session could be opened.
    static std::unique_ptr<Client> open(const std::string& host, const std::string& database, const std::string& who);

    Answer ask(const std::string& statement, const std::string& text, double timeout);

private:
    std::unique_ptr<Connection> m_connection;
};

}
