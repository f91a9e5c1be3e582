#pragma once

#include "configuration/Configuration.h"
#include "entry/Entry.h"
#include "homes/HomeService.h"
#include "platform_ports/PlatformPorts.h"
#include "sessions/TokenSealer.h"

#include <memory>

namespace parsleypaddle {

class WatchedHomes;

/// What a daemon's decisions reach the world through.
struct NodePorts {
    EventLoop& loop;
    TargetConnector& targets;
    /// The homes of other daemons; calls to this one never reach it.
    HomePort& peers;
};

/// Settings of a daemon's decisions.
struct NodeSettings {
    InstanceEntry self;
    std::vector<TokenKey> tokenKeys;
    EntrySettings entry;
    HomeSettings home;
    uint64_t seed { 1 };

    /// Breaks rules on purpose; without effect in builds without test hooks.
    void breakRules(const BrokenRules& rules)
    {
        entry.brokenRules = rules;
        home.brokenRules = rules;
    }
};

/// All decisions of one daemon, joined: callers' requests, homes of targets, changes of primary. It has no socket,
/// thread or clock of its own; the daemon, the tests and the measurements drive it through its ports.
/// It must outlive the loop's pending tasks.
class Node {
public:
    /// ValueOutOfRange when a token key is unfit.
    static absl::StatusOr<std::unique_ptr<Node>> create(const NodePorts&, NodeSettings);
    ~Node();

    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void setConfiguration(std::shared_ptr<const Configuration>);
    void setList(const PlatformList&);

    /// A caller's request; answered exactly once, at the latest at its deadline.
    void handle(StatementRequest, Entry::Done);

    /// A call from another daemon's entry.
    void handleHomeCall(const HomeCall&, HomePort::Done);

    /// Makes this daemon rank last as a home; work in flight goes on.
    void startDraining();
    bool isDraining() const { return m_membership.self().isLeaving; }

    /// Whether nothing is in flight and no transaction is open.
    bool isIdle() const;

    Membership& membership() { return m_membership; }
    HomeService& homes() { return m_homes; }
    Entry& entry() { return *m_entry; }
    const GroupView& view(const DatabaseId&);
    const std::shared_ptr<const Configuration>& configuration() const { return m_configuration; }

    void onDecision(std::function<void(const EntryDecision&)>);

private:
    Node(const NodePorts&, NodeSettings, TokenSealer);
    void refresh();

    NodePorts m_ports;
    NodeSettings m_settings;
    TokenSealer m_sealer;
    Membership m_membership;
    HomeService m_homes;
    std::unique_ptr<WatchedHomes> m_homePort;
    std::unique_ptr<Entry> m_entry;
    std::shared_ptr<const Configuration> m_configuration;
    std::function<void(const EntryDecision&)> m_onDecision;
    uint64_t m_generation { 0 };
    TimerId m_refreshTimer { TimerId::None };
};

}
