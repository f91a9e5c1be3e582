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

/// What a modelled target was asked to run.
struct SeenStatement {
    std::string text;
    StatementId id;
    TargetId target;
    uint64_t connection { 0 };
    /// Whether it ran inside a transaction.
    bool wasInTransaction { false };
    std::map<std::string, std::string> values;
    std::optional<LogMark> after;
};

/// Targets for tests of the relay: roles, logs, sessions with values and transactions, and faults.
class SceneTargets final : public TargetConnector {
public:
    explicit SceneTargets(EventLoop&);

    /// How one target behaves.
    struct Target {
        bool isPrimary { false };
        Term term { 1 };
        LogPosition applied { 10 };
        LogPosition received { 10 };
        Milliseconds delay { 2 };
        /// Connections are refused, and open ones are lost.
        bool isDown { false };
        /// Nothing is answered any more, by open connections and by new ones.
        bool isSilent { false };
        /// Statements are refused as by a full target.
        bool isBusy { false };
        /// Statements run, and fail.
        bool fails { false };
        /// The connection is lost after the next statement has run.
        bool losesNextAnswer { false };
        uint32_t connections { 0 };
        uint32_t mostConnections { 0 };
    };

    Target& operator[](const TargetId& id) { return m_targets[id]; }
    void connect(const TargetConfiguration&, Milliseconds timeout, Done) override;

    std::vector<SeenStatement> seen;
    /// Single writes and the commits of transactions that wrote.
    std::vector<SeenStatement> committed;

private:
    friend class SceneConnection;

    EventLoop& m_loop;
    std::map<TargetId, Target> m_targets;
    uint64_t m_lastConnection { 0 };
};

/// A caller for tests: collects the answers of one session.
class SceneCaller final : public CallerPort {
public:
    SceneCaller(Relay&, const std::string& database, const std::string& name = "shop", CallerKind = CallerKind::Caller);
    ~SceneCaller() override;

    void answer(const RelayAnswer& answer) override { answers.push_back(answer); }
    void close() override { isClosed = true; }

    void send(RelayKind, const std::string& text = "", const std::string& name = "", const std::string& argument = "");
    void leave();
    CallerSession& session() { return *m_session; }
    const RelayAnswer& last() const { return answers.back(); }

    std::vector<RelayAnswer> answers;
    bool isClosed { false };

private:
    std::shared_ptr<CallerSession> m_session;
    uint64_t m_lastStatement { 0 };
};

/// One group of three targets, "one" its primary, with a database for each rule of reads: "orders" reads at the primary,
/// "prices" within 1500 ms, "proofs" also its own writes.
class RelayScene : public PrimaryLease, public PrimaryObserver {
public:
    explicit RelayScene(const std::string& self = "self");
    /// Lets everything under way end, since it refers to the parts of the scene.
    ~RelayScene() override { loop.advance(Milliseconds(10'000)); }

    bool isValid() const override { return isLeaseValid; }
    void primaryAnswered(const GroupId&) override { ++primaryAnswers; }
    void primaryFailed(const GroupId&) override { ++primaryFailures; }

    void setPrimary(const std::string& target, uint64_t term, bool isOpen = true);
    void setLeaving(const std::string& target);
    void run(double milliseconds) { loop.advance(Milliseconds(milliseconds)); }
    RelayGroup& group() { return *relay.findGroup(GroupId("group")); }
    /// Statements of callers that were run, by their text.
    std::vector<SeenStatement> ran(const std::string& text) const;

    VirtualLoop loop;
    SceneTargets targets { loop };
    bool isLeaseValid { true };
    uint32_t primaryAnswers { 0 };
    uint32_t primaryFailures { 0 };
    std::vector<std::string> logLines;
    Metrics metrics { MetricsLimits {} };
    Membership membership;
    DecisionLog log { loop, "scene", [this](const std::string& line) { logLines.push_back(line); } };
    Relay relay;

private:
    std::vector<TargetEntry> m_entries;
};

}
