#pragma once

#include "measure/Arrivals.h"
#include "measure/Proxy.h"

#include <deque>

namespace parsleypaddle {

/// What became of one arrival, as its caller saw it.
struct CallerResult {
    size_t arrival { 0 };
    DatabaseId database;
    std::string key;
    bool isWrite { false };
    /// Number of this write within its session; for reads the greatest one acknowledged before it was asked.
    uint64_t write { 0 };
    /// For reads, the write that was seen.
    uint64_t seen { 0 };
    /// The request that commits, for writes.
    RequestId request;
    ResultCode code { ResultCode::OutcomeUnknown };
    Instant sentAt;
    Instant answeredAt;
    TargetId target;
    /// A replica held what this read needs when it was sent.
    bool mightUseReplica { false };
};

/// Callers that roam between daemons: one request of a session at a time, tokens handed back, writes of unknown outcome
/// asked again under the same id.
class Callers {
public:
    Callers(VirtualLoop&, FakeTargets&, const Deployment&, Proxy&);
    ~Callers();

    /// Sends all arrivals at their times and runs the loop until `end`.
    void run(const std::vector<Arrival>&, Milliseconds end);

    const std::vector<CallerResult>& results() const { return m_results; }

private:
    struct Session;
    struct Request;
    using RequestPointer = std::shared_ptr<Request>;

    void sendNext(const std::vector<Arrival>&, size_t n);
    void start(const Arrival&, size_t n);
    std::shared_ptr<Session> newSession();
    std::shared_ptr<Session> idleSession(const Arrival&);
    void build(Request&, const Arrival&);
    void send(const RequestPointer&);
    void receive(const RequestPointer&, uint32_t sending, StatementAnswer);
    bool goOn(const RequestPointer&, const StatementAnswer&);
    void rollBack(const Request&);
    void finish(const RequestPointer&, const StatementAnswer&);
    bool mightUseReplica(const Request&);
    size_t livingDaemon(size_t preferred) const;

    VirtualLoop& m_loop;
    FakeTargets& m_targets;
    const Deployment& m_deployment;
    Proxy& m_proxy;
    Instant m_start;
    uint64_t m_lastSession { 0 };
    std::vector<std::deque<std::shared_ptr<Session>>> m_idle;
    std::vector<CallerResult> m_results;
};

}
