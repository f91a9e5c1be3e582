#pragma once

#include "base/VirtualLoop.h"
#include "relay/CallerSession.h"
#include "relay/Relay.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace parsleypaddle {

/// A statement that a simulated target has executed.
struct RecordedStatement {
    std::string text;
    StatementId id;
    TargetId target;
    uint64_t connection { 0 };
    bool wasInTransaction { false };
    std::map<std::string, std::string> values;
    /// Of the prepared statement that was executed, as its connection has it; empty for other statements.
    std::string definition;
    std::optional<LogMark> requiredMark;
    std::optional<ForwardedFor> forwardedFor;
    /// The organisation that the connection was opened for.
    OrganisationId organisation;
};

/// Simulated targets for tests of the relay, with roles, log positions, sessions, transactions and faults.
class SimulatedTargets final : public TargetConnector {
public:
    explicit SimulatedTargets(EventLoop&);

    /// State and configured faults of one target.
    struct Target {
        bool isPrimary { false };
        Term term { 1 };
        LogPosition applied { 10 };
        LogPosition received { 10 };
        Milliseconds delay { 2 };
        /// New connections are refused, and open connections are lost.
        bool isDown { false };
        /// Neither open nor new connections are answered.
        bool isSilent { false };
        /// Statements are answered with Busy, as by a full target.
        bool isBusy { false };
        /// Statements are answered with Failed.
        bool fails { false };
        /// The next batch runs, but its connection is lost before the answer.
        bool losesNextAnswer { false };
        /// Open connections turn out to be closed when the next batch is to be sent.
        uint32_t closedBeforeSending { 0 };
        /// The next batch runs, but its answers do not fit it.
        bool isNextOutOfStep { false };
        /// So many of the next statements that change a connection's variables or prepared statements are answered with Busy.
        uint32_t refusedSessionChanges { 0 };
        /// The connections lose their prepared statements when they run their next batch.
        std::set<uint64_t> forgetfulConnections;
        /// Numbers of the open connections.
        std::set<uint64_t> openConnections;
        size_t mostPreparedStatements { 0 };
        uint32_t connections { 0 };
        uint32_t peakConnections { 0 };
        uint32_t running { 0 };
        uint32_t peakRunning { 0 };
    };

    Target& operator[](const TargetId& id) { return m_targets[id]; }
    void connect(const TargetConfiguration&, const OrganisationId&, Milliseconds timeout, Done) override;

    /// Called when a target has committed. A commit for which it returns false is not acknowledged.
    std::function<bool(const TargetId&)> onCommitted { [](const TargetId&) { return true; } };
    /// Connections that were requested, including those that failed.
    uint64_t connectionAttempts { 0 };
    std::vector<RecordedStatement> executed;
    /// Writes outside transactions, and the commits of transactions that wrote.
    std::vector<RecordedStatement> committed;

private:
    friend class SimulatedConnection;

    EventLoop& m_loop;
    std::map<TargetId, Target> m_targets;
    uint64_t m_lastConnection { 0 };
    /// A probe that is under way at the end of a test keeps its connection in the loop, which outlives this object.
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

/// A caller with one session, which collects the session's answers.
class TestCaller final : public CallerPort {
public:
    TestCaller(Relay&, const std::string& database, const std::string& name = "shop", CallerKind = CallerKind::Caller);
    ~TestCaller() override;

    void answer(const RelayAnswer& answer) override { answers.push_back(answer); }
    void close() override { isClosed = true; }
    bool hasUnsentAnswers() const override { return isSlow; }
    void closeIfAnswered() override;

    void send(RelayKind, const std::string& text = "", const std::string& name = "", const std::string& argument = "");
    /// Sends a statement as another daemon does that forwards it.
    void sendFor(const ForwardedFor&, RelayKind, const std::string& text = "");
    /// Detaches the session, as when the caller's connection closes.
    void disconnect();
    CallerSession& session() { return *m_session; }
    const RelayAnswer& last() const { return answers.back(); }

    std::vector<RelayAnswer> answers;
    bool isClosed { false };
    /// False once the session reads no further statements; the test sends none from then on.
    bool isReceiving { true };
    /// Whether the connection takes no answers for now.
    bool isSlow { false };

private:
    std::shared_ptr<CallerSession> m_session;
    uint64_t m_lastStatement { 0 };
};

/// A relay with one group of three targets, where "one" is the primary, and one database for each read rule: "orders" reads
/// at the primary, "prices" accepts data up to 1500 ms old, and "proofs" also requires the session's own writes.
class RelayFixture : public PrimaryLease, public PrimaryObserver {
public:
    explicit RelayFixture(const std::string& self = "self");
    /// Lets unfinished statements end, because their callbacks refer to members of this object.
    ~RelayFixture() override { loop.advance(Milliseconds(10'000)); }

    bool isValid() const override { return isLeaseValid; }
    LeaseState state() const override { return { loop.now() + Milliseconds(2500), leaseSource, RowVersion(firstEra, 7) }; }
    void primaryAnswered(const GroupId&) override { ++primaryAnswers; }
    void primaryFailed(const GroupId&) override { ++primaryFailures; }

    /// Puts a configuration in force that has these organisations, and the same routes.
    void setOrganisations(uint64_t version, const std::vector<OrganisationEntry>&);
    /// The next configuration of setOrganisations() has this public route.
    void setPublic(const std::string& database) { m_publicDatabase = DatabaseId(database); }
    void setPrimary(const std::string& target, uint64_t term, bool isOpen = true);
    void setLeaving(const std::string& target);
    void run(double milliseconds) { loop.advance(Milliseconds(milliseconds)); }
    RelayGroup& group() { return *relay.findGroup(GroupId("group")); }
    /// All executions of the statement with this text.
    std::vector<RecordedStatement> ran(const std::string& text) const;

    VirtualLoop loop;
    SimulatedTargets targets { loop };
    bool isLeaseValid { true };
    LeaseSource leaseSource { LeaseSource::Row };
    uint32_t primaryAnswers { 0 };
    uint32_t primaryFailures { 0 };
    std::vector<std::string> logLines;
    Metrics metrics { MetricsLimits {} };
    Membership membership;
    DecisionLog log { loop, "scene", [this](const std::string& line) { logLines.push_back(line); } };
    Relay relay;

private:
    std::vector<TargetEntry> m_entries;
    DatabaseId m_publicDatabase;
};

}
