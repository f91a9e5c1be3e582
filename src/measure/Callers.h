#pragma once

#include "base/VirtualLoop.h"
#include "checking/FaultCounts.h"
#include "measure/Arrivals.h"
#include "measure/Proxy.h"

#include <deque>

namespace parsleypaddle {

/// What became of one arrival, as its caller saw it.
struct CallerResult : ToldOutcome {
    size_t arrival { 0 };
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
