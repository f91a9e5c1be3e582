#pragma once

#include "Record.h"
#include "Store.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace rig {

/// What a client sent, kept by the id of the statement.
struct SentStatement {
    std::string text;
    /// For an EXECUTE: what its client prepared under that name.
    std::string shape;
    std::map<std::string, std::string> values;
};

/// Everything that clients have sent. Thread-safe.
class Ledger {
public:
    void add(const std::string& id, SentStatement);
    bool find(const std::string& id, SentStatement&) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, SentStatement> m_statements;
};

struct DatabaseSettings {
    std::string service;
    uint32_t syncReplicas { 0 };
    int64_t lagMs { 60 };
    int64_t promoteMs { 300 };
    uint32_t slots { 3 };
    uint32_t queue { 24 };
    uint32_t maxConnections { 38 };
    /// By how much a second answer comes later.
    int64_t stutterMs { 8 };
    int64_t workMs { 5 };
    int64_t heartbeatMs { 1200 };
};

/// A primary and its replicas, which speak the wire protocol and register themselves in the store.
class Database {
public:
    Database(DatabaseSettings, Store&, Record&, Ledger&);

    /// Starts a server. The first one is the primary.
    bool addServer(const std::string& id, const std::string& zone, const std::string& host, uint16_t port);

    /// POST /promotion.
    int promote(const std::string& id, const std::string& holder, const std::string& fence);

    /// The server crashes: its connections are reset, and it answers nothing.
    void crash(const std::string& id);
    /// The replica receives nothing of the log until it is called again with false.
    void setDeaf(const std::string& id, bool);
    /// The server's zone is partitioned from the others: nothing reaches the server or leaves it until this is called again with false.
    void setCut(const std::string& id, bool);
    /// The server stutters: it sends what it answers twice, the second time late.
    void setStuttering(const std::string& id, bool);
    /// The server reports `draining`, and goes on serving and receiving.
    void drain(const std::string& id);

    std::string primary();
    /// The signature of the statement's success; empty if it has none.
    std::string signatureOf(const std::string& id);
    /// Ids of the commits in the log of the server.
    std::set<std::string> commitsAt(const std::string& id);
    /// Breaches of the rules that the servers have seen.
    std::vector<std::string> violations();
    /// Servers that were promoted, in order, with the commits that they held then.
    struct Promotion {
        std::string id;
        int64_t at;
        std::set<std::string> commits;
    };
    std::vector<Promotion> promotions();

private:
    struct Entry {
        std::string id;
        std::vector<std::pair<std::string, std::string>> changes;
        /// When each server has applied it is counted from when that server received it.
        int64_t receivedAt { 0 };
    };
    struct Server {
        std::string id;
        std::string zone;
        std::string host;
        uint16_t port { 0 };
        std::unique_ptr<Listener> listener;
        bool isPrimary { false };
        bool isUp { true };
        bool isDeaf { false };
        bool isCut { false };
        bool isStuttering { false };
        bool isDraining { false };
        uint64_t term { 1 };
        std::vector<Entry> log;
        uint64_t sequence { 0 };
        int64_t born { 0 };
        uint32_t connections { 0 };
        uint32_t running { 0 };
        uint32_t waiting { 0 };
        std::set<std::shared_ptr<Stream>> streams;
    };
    struct Prepared {
        bool isWrite { false };
        std::string shape;
    };
    struct Session {
        uint64_t number { 0 };
        char state { 'I' };
        bool isReadOnly { false };
        std::string transaction;
        std::vector<std::pair<std::string, std::string>> changes;
        std::map<std::string, std::string> values;
        std::map<std::string, Prepared> prepared;
    };
    struct Reply {
        std::vector<std::string> rows;
        std::string signature { "-" };
        std::string error;
    };

    void serve(Server&, const std::shared_ptr<Stream>&);
    void serveSession(Server&, const std::shared_ptr<Stream>&, uint64_t number);
    Reply run(Server&, Session&, const std::string& id, std::string text, std::unique_lock<std::mutex>&);
    Reply runStatement(Server&, Session&, const std::string& id, const std::string& word, const std::string& rest, const std::string& text, std::unique_lock<std::mutex>&);
    Reply statusOf(const Server&) const;
    bool takeSlot(Server&, std::unique_lock<std::mutex>&, int64_t workMs);
    bool commit(Server&, const std::string& id, const std::vector<std::pair<std::string, std::string>>& changes, std::unique_lock<std::mutex>&);
    size_t applied(const Server&) const;
    std::string valueAt(const Server&, const std::string& item) const;
    void awaitPath(Server&, std::unique_lock<std::mutex>&);
    void replicate();
    void publish(Server&);
    void checkRun(Server&, const Session&, const std::string& id, const std::string& text, const std::string& shape);
    void report(const std::string& violation);

    DatabaseSettings m_settings;
    Store& m_store;
    Record& m_record;
    Ledger& m_ledger;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::string> m_violations;
    std::vector<Promotion> m_promotions;
    uint64_t m_lastConnection { 0 };
    uint64_t m_lastSignature { 0 };
    /// By the id of the statement.
    std::map<std::string, std::string> m_signatures;
};

}
