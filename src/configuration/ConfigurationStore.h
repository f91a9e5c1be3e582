#pragma once

#include "base/EventLoop.h"
#include "configuration/Configuration.h"
#include "configuration/ConfigurationPeers.h"
#include "platform_ports/PlatformPorts.h"

#include <memory>
#include <random>

namespace parsleypaddle {

/// Times of the spread of configuration.
struct ConfigurationStoreSettings {
    InstanceId instance;
    uint64_t seed { 0 };
    /// How often the root row is read; each pause varies by half.
    Milliseconds rowInterval { 5000 };
    /// How often one random peer is told the digest; each pause varies by a fifth.
    Milliseconds peerInterval { 1000 };
    /// The same while no configuration is in force yet.
    Milliseconds startInterval { 250 };
    /// Peers that are told at once when a version comes into force.
    uint32_t promptPeers { 1 };
    /// How long an accepted change whose answer was lost is settled for.
    Milliseconds settleLimit { 20'000 };
    /// Pause between two attempts to settle it.
    Milliseconds settlePause { 500 };
};

/// The root row's key in the platform's table.
constexpr const char* configurationRootKey = "configuration-root";

/// Holds the configuration in force at one daemon, learns of later versions from the root row and from peers, and
/// never goes back to an earlier one.
class ConfigurationStore {
public:
    using InForce = std::function<void(const std::shared_ptr<const Configuration>&)>;
    using Applied = std::function<void(absl::StatusOr<ConfigurationVersion>)>;

    ConfigurationStore(EventLoop&, PlatformTable&, PlatformObjects&, ConfigurationPeers&, const ConfigurationStoreSettings&);
    ~ConfigurationStore();

    /// Begins to read the root row and to talk to peers.
    void start();

    /// Calls back whenever a later version has come into force here.
    void onInForce(InForce);

    const InstanceId& instance() const { return m_settings.instance; }

    /// The configuration in force; version 0 with nothing declared until one was learnt.
    const std::shared_ptr<const Configuration>& current() const { return m_current; }
    const ConfigurationDigest& digest() const { return m_digest; }
    /// The latest changes, newest first.
    const std::vector<ChangeRecord>& history() const { return m_body.history; }

    /// Makes a checked document the next version after `base`. ConfigurationInvalid with every fault,
    /// ConfigurationConflict with what was accepted since, PlatformUnavailable when nothing was changed,
    /// OutcomeUnknown when that could not be settled.
    void apply(ConfigurationVersion base, const std::string& document, const std::string& author, Applied);

    /// Answers a peer's exchange, and learns from it.
    ConfigurationDigest answerExchange(const InstanceId& peer, const ConfigurationDigest&);

    /// Answers a peer's fetch; UnknownResource for another version than the one in force.
    absl::StatusOr<std::string> answerFetch(ConfigurationVersion) const;

private:
    friend class ChangeSubmission;

    bool isNews(const ConfigurationDigest&) const;
    Milliseconds vary(Milliseconds, double share);
    void readRowLater();
    void readRow();
    void learnFromRow(const ConfigurationRoot&);
    void talkLater();
    void talkToPeer();
    void learnFromPeer(const InstanceId&, const ConfigurationDigest&);
    bool adopt(const ConfigurationDigest&, const std::string& encoded);
    std::string newChangeId();

    EventLoop& m_loop;
    PlatformTable& m_table;
    PlatformObjects& m_objects;
    ConfigurationPeers& m_peers;
    ConfigurationStoreSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<InForce> m_listeners;

    std::shared_ptr<const Configuration> m_current;
    ConfigurationDigest m_digest;
    ConfigurationBody m_body;
    std::string m_encoded;
    bool m_isFetchingObject { false };
    bool m_isFetchingFromPeer { false };
    /// Callbacks that come after the store's end find this gone.
    std::shared_ptr<bool> m_alive;
};

}
