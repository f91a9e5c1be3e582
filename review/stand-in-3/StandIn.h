// A stand-in of the users' platform for the cases of review/11 and later, written after PROTOCOL.md: the store with its tables and feeds, the
// promotion call, and one service of three database servers. Everything runs in threads of the test's own process, on loopback addresses.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

/// Milliseconds of the steady clock.
int64_t nowMs();
void sleepMs(int64_t);

/// Writes lines with their time to record.txt.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    void line(const std::string&);

private:
    std::mutex m_mutex;
    int m_file;
    int64_t m_start;
};

/// A blocking socket that reads lines that end with CR LF.
class Line {
public:
    explicit Line(int fd)
        : m_fd(fd)
    {
    }
    ~Line();
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;

    /// nullptr if the connection is not opened in time.
    static std::unique_ptr<Line> connect(const std::string& host, int port, int timeoutMs);
    bool send(const std::string&);
    /// nullopt at the end of the connection or after `timeoutMs`; see isClosed().
    std::optional<std::string> readLine(int timeoutMs);
    std::string readBytes(size_t count, int timeoutMs);
    bool isClosed() const { return m_isClosed; }
    void shutDown();
    int fd() const { return m_fd; }

private:
    int m_fd;
    std::string m_buffer;
    bool m_isClosed { false };
};

/// Accepts connections and serves each in a thread of its own.
class Listener {
public:
    Listener(const std::string& host, int port, std::function<void(int)> serve);

private:
    std::function<void(int)> m_serve;
};

/// The platform's store and its promotion call.
class Store {
public:
    Store(const std::string& host, int port, std::function<bool(const std::string& id, const std::string& holder, uint64_t fence)> promote);

    /// How the store treats calls. Promotions are not affected.
    enum class Mode { Serving, Busy, Silent, Reset };
    void setMode(Mode mode) { m_mode = mode; }

    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

private:
    struct Row {
        std::string value;
        uint64_t version { 0 };
        bool isDeleted { false };
    };

    void serve(int fd);
    std::string handle(const std::string& method, const std::string& target, const std::map<std::string, std::string>& headers, const std::string& body, int& status);
    std::string rowsBody(const std::string& table, uint64_t after, bool withDeleted, const std::string& startKey);
    std::string transact(const std::string& body, int& status);

    std::atomic<Mode> m_mode { Mode::Serving };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    uint64_t m_version { 1 };
    std::function<bool(const std::string&, const std::string&, uint64_t)> m_promote;
};

struct Commit {
    uint64_t term { 0 };
    uint64_t number { 0 };
    std::vector<std::pair<std::string, std::string>> changes;
    int64_t at { 0 };
};

struct ServerOptions {
    int slots { 3 };
    int workMs { 5 };
    /// Time for which a replica applies a commit later than it receives it, and until it receives it.
    int applyMs { 60 };
    int receiveMs { 2 };
    int promoteMs { 300 };
    int syncReplicas { 0 };
    int maxConnections { 38 };
};

/// A read that a server has run, and the positions of the commits that its log had.
struct ReadRun {
    std::string id;
    std::string server;
    int64_t arrivedAt { 0 };
    std::vector<std::pair<uint64_t, uint64_t>> log;
};

class Service;

/// One database server.
class Server {
public:
    Server(Service&, std::string id, std::string zone, std::string host, int port);

    const std::string& id() const { return m_id; }

private:
    friend class Service;
    struct Session;

    void serve(int fd);
    std::string run(Session&, const std::string& statement);
    std::string ready(const Session&) const;

    Service& m_service;
    std::string m_id;
    std::string m_zone;
    std::string m_host;
    int m_port;
    // Guarded by the service's mutex.
    bool m_isPrimary { false };
    uint64_t m_term { 1 };
    std::vector<Commit> m_log;
    bool m_isDown { false };
    bool m_isDeaf { false };
    bool m_isCutFromStore { false };
    uint64_t m_sequence { 0 };
    int64_t m_born { 0 };
    int m_busy { 0 };
    std::set<Line*> m_connections;
};

/// A service of three servers, the first of which is primary at the start.
class Service {
public:
    Service(std::string name, ServerOptions, Record&);

    void addServer(const std::string& id, const std::string& zone, const std::string& host, int port);
    /// Begins to report the servers to the store.
    void start(Store&);
    bool promote(const std::string& id, const std::string& holder, uint64_t fence);

    /// Crashes the server; `losesLog`: it holds nothing when it starts again.
    void crash(const std::string& id, bool losesLog);
    void restart(const std::string& id);
    void setDeaf(const std::string& id, bool isDeaf);
    void setCutFromStore(const std::string& id, bool isCut);
    std::string primary();
    std::vector<std::string> ids() const;
    /// The position that the server holds, for the record.
    std::string position(const std::string& id);
    const std::string& name() const { return m_name; }
    const ServerOptions& options() const { return m_options; }

    /// Commits that a promotion has dropped although they were acknowledged, as text.
    std::vector<std::string> lostCommits();
    /// Reads that ran on a log without a commit which was acknowledged at least `margin` ms before the read arrived, and which is in the log of
    /// the present primary, as text.
    std::vector<std::string> staleReads(int64_t margin);
    size_t reads();

private:
    friend class Server;

    void report(Server&);
    void beat();
    void replicate();

    std::string m_name;
    ServerOptions m_options;
    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<Server>> m_servers;
    Store* m_store { nullptr };
    uint64_t m_signature { 0 };
    /// Positions that were acknowledged, by term and number.
    std::map<std::pair<uint64_t, uint64_t>, int64_t> m_acknowledged;
    std::vector<std::string> m_lost;
    std::vector<ReadRun> m_reads;
};

/// A daemon of the system, started with the command of the deploy file.
class Daemon {
public:
    struct Settings {
        std::string name;
        std::string zone;
        std::string ip;
        int port { 0 };
        std::string platform;
        std::vector<std::string> zones;
        std::string folder;
        /// The program and its arguments.
        std::vector<std::string> command;
    };

    explicit Daemon(Settings);

    /// `output`: descriptor for its standard output and error.
    void start(int output);
    void signal(int);
    /// Kills the process and waits for its end.
    void end();
    /// Whether the process has ended.
    bool hasEnded();
    bool isReady(int timeoutMs = 1000);
    int pid() const { return m_pid; }
    const Settings& settings() const { return m_settings; }

private:
    Settings m_settings;
    std::atomic<int> m_pid { -1 };
    bool m_isFirst { true };
};

/// Splits at blanks.
std::vector<std::string> words(const std::string&);

}
