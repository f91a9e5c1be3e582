#pragma once

#include "Store.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace rig {

/// One commit in a server's log.
struct Entry {
    uint64_t term { 0 };
    uint64_t number { 0 };
    std::string statement;
    std::string item;
    std::string data;
    double committedAt { 0 };
};

struct GroupTimes {
    /// How long a read, write or commit occupies a slot.
    double work { 15 };
    /// How far replicas are behind.
    double lag { 150 };
    /// Between the promotion's call and the new primary's lead.
    double promote { 600 };
    /// How long a server that is draining goes on serving.
    double drain { 7000 };
};

/// A service: a primary and its replicas, which speak the wire protocol, register themselves in the store and replicate asynchronously.
class Group {
public:
    Group(std::string service, std::string host, GroupTimes, int maxConnections, int slots);

    /// Starts a server; the first one is the primary. A later one copies the primary's log.
    void start(Store&, const std::string& id, const std::string& zone, int port);
    /// Reports the server as draining, and ends it later.
    void drain(Store&, const std::string& id);
    /// As by the platform's call. Returns its HTTP status.
    int promote(Store&, const std::string& id);

    std::string primary();
    /// The log of the primary of the newest term.
    std::vector<Entry> log();
    /// Runs of each write by the statement's text, at all servers.
    std::map<std::string, int> runs();
    /// Statements that a server has begun to run.
    std::set<std::string> begun();

private:
    struct Server {
        std::string id;
        std::string zone;
        int port { 0 };
        bool isPrimary { false };
        bool isDraining { false };
        bool isGone { false };
        uint64_t term { 1 };
        uint64_t sequence { 0 };
        double born { 0 };
        std::vector<Entry> log;
        int busy { 0 };
        std::set<std::shared_ptr<Connection>> connections;
    };
    struct Session {
        char state { 'I' };
        bool isReadOnly { false };
        std::vector<std::pair<std::string, std::string>> changes;
        std::vector<std::string> statements;
        std::map<std::string, std::string> prepared;
    };

    void serve(const std::string& id, const std::shared_ptr<Connection>&);
    std::string run(Server&, Session&, const std::string& statement, std::string text);
    std::string execute(Server&, Session&, const std::string& statement, const std::string& word, const std::string& rest);
    std::string status(const Server&);
    void commit(Server&, const std::string& statement, const std::vector<std::pair<std::string, std::string>>& changes);
    /// Brings the server's log up to what it has received by now.
    void replicate(Server&);
    Server* leader();
    void report(Store&, Server&);
    static std::string position(const Server&);

    std::string m_service;
    std::string m_host;
    GroupTimes m_times;
    int m_maxConnections;
    int m_slots;
    std::mutex m_mutex;
    std::map<std::string, Server> m_servers;
    std::map<std::string, int> m_runs;
    std::set<std::string> m_begun;
};

}
