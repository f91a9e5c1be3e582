#pragma once

#include "configuration/Configuration.h"
#include "entry/Entry.h"
#include "homes/HomeService.h"
#include "platform_ports/PlatformPorts.h"
#include "sessions/TokenSigner.h"

#include <memory>

namespace parsleypaddle {

class MonitoredHomeClient;

/// The interfaces through which a Node uses time, targets and other daemons.
struct NodePorts {
    EventLoop& loop;
    TargetConnector& targets;
    /// Sends calls to the homes of other daemons. Never called for this daemon's own homes.
    HomeClient& peers;
};

/// Settings of a Node.
struct NodeSettings {
    InstanceEntry self;
    std::vector<TokenKey> tokenKeys;
    EntrySettings entry;
    HomeSettings home;
    uint64_t seed { 1 };

    /// Disables the given rules so that tests can provoke violations. No effect in builds without test hooks.
    void breakRules(const BrokenRules& rules)
    {
        entry.brokenRules = rules;
        home.brokenRules = rules;
    }
};

/// The complete decision logic of one daemon: executing callers' requests, acting as the home of targets, and changing
/// primaries. It has no socket, thread or clock of its own; the daemon, the tests and the measurement programs supply
/// them through NodePorts. It must outlive the loop's pending tasks.
class Node {
public:
    /// Error: ValueOutOfRange when there is no token key, or one has an empty id or a secret that is too short.
    static absl::StatusOr<std::unique_ptr<Node>> create(const NodePorts&, NodeSettings);
    ~Node();

    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void setConfiguration(std::shared_ptr<const Configuration>);
    void setPlatformList(const PlatformList&);

    /// Executes a caller's request and answers exactly once, at the latest at its deadline.
    void handleRequest(StatementRequest, Entry::Done);

    /// Executes a call that another daemon sent to this daemon as the home of a target.
    void handleHomeCall(const HomeCall&, HomeClient::Done);

    /// Marks this daemon as leaving, so that it ranks last as a home, and rejects further home calls except pings and
    /// steps of open transactions. Requests in flight and open transactions can still be completed.
    void startDraining();
    bool isDraining() const { return m_membership.self().isLeaving; }

    /// Whether no request or home call is in flight and no transaction is open.
    bool isIdle() const;

    Membership& membership() { return m_membership; }
    HomeService& homes() { return m_homes; }
    Entry& entry() { return *m_entry; }
    const GroupView& view(const DatabaseId&);
    const std::shared_ptr<const Configuration>& configuration() const { return m_configuration; }

    void onDecision(std::function<void(const EntryDecision&)>);

private:
    Node(const NodePorts&, NodeSettings, TokenSigner);
    void applyMembershipChanges();

    NodePorts m_ports;
    NodeSettings m_settings;
    TokenSigner m_sealer;
    Membership m_membership;
    HomeService m_homes;
    std::unique_ptr<MonitoredHomeClient> m_homePort;
    std::unique_ptr<Entry> m_entry;
    std::shared_ptr<const Configuration> m_configuration;
    std::function<void(const EntryDecision&)> m_onDecision;
    uint64_t m_appliedGeneration { 0 };
    TimerId m_membershipTimer { TimerId::None };
};

}
