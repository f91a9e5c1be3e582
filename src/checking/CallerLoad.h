#pragma once

#include "checking/History.h"
#include "fleet/FakeFleet.h"

#include <functional>
#include <memory>
#include <random>

namespace parsleypaddle {

/// How callers behave.
struct CallerLoadSettings {
    size_t sessions { 12 };
    /// Longest pause of a session between two requests.
    Milliseconds longestPause { 60 };
    Milliseconds deadline { 2500 };
    /// Times that a request of unknown outcome is sent.
    uint32_t mostAttempts { 8 };
};

/// Sessions that write, read and run transactions, each request at any daemon, and ask again under the same id while
/// the outcome is unknown. Every session keeps to a record of its own and numbers what it writes.
class CallerLoad {
public:
    CallerLoad(EventLoop&, FakeFleet&, DatabaseId, const CallerLoadSettings&, uint64_t seed);
    ~CallerLoad();

    CallerLoad(const CallerLoad&) = delete;
    CallerLoad& operator=(const CallerLoad&) = delete;

    void start();
    /// Begins no more requests; those under way come to their end.
    void stop() { m_isStopped = true; }
    bool isIdle() const { return m_underWay == 0; }

    /// Daemons that do not run owe no answers.
    void noteStopped(size_t daemon, bool isStopped);

    CallerHistory& history() { return m_history; }

private:
    struct Session;
    struct Sending;
    using SessionPointer = std::shared_ptr<Session>;
    using Finished = std::function<void(const CallerRequest&)>;

    void next(const SessionPointer&);
    void schedule(const SessionPointer&);
    void write(const SessionPointer&);
    void read(const SessionPointer&);
    void begin(const SessionPointer&);
    void proceed(const SessionPointer&);
    void commit(const SessionPointer&);
    void rollBack(const SessionPointer&);

    std::shared_ptr<Sending> prepare(const SessionPointer&, CallerOperation, AccessMode);
    void fillInsert(const SessionPointer&, Sending&);
    void send(const SessionPointer&, const std::shared_ptr<Sending>&, Finished);
    void answered(const SessionPointer&, const std::shared_ptr<Sending>&, const Finished&);
    void settleWritten(const SessionPointer&, const CallerRequest&);
    size_t chooseDaemon(Session&, bool isAskedAgain);
    bool wasStoppedSince(size_t daemon, Instant) const;

    EventLoop& m_loop;
    FakeFleet& m_fleet;
    DatabaseId m_database;
    CallerLoadSettings m_settings;
    std::mt19937_64 m_random;
    CallerHistory m_history;
    std::vector<SessionPointer> m_sessions;
    struct Stop {
        bool isStopped { false };
        Instant until;
    };
    std::vector<Stop> m_stops;
    uint64_t m_requests { 0 };
    uint64_t m_names { 0 };
    size_t m_underWay { 0 };
    bool m_isStopped { false };
    std::shared_ptr<int> m_alive { std::make_shared<int>(0) };
};

}
