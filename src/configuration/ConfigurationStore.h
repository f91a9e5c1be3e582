#pragma once

#include "base/EventLoop.h"
#include "configuration/Configuration.h"
#include "configuration/ConfigurationPeers.h"
#include "platform_ports/PlatformPorts.h"

#include <memory>
#include <random>

namespace parsleypaddle {

/// Intervals and timeouts for propagating configuration versions.
struct ConfigurationStoreSettings {
    InstanceId instance;
    uint64_t seed { 0 };
    /// Pause between reads of the root row, varied randomly by up to 50 % in either direction.
    Milliseconds rowReadInterval { 5000 };
    /// Pause between digest exchanges with a random peer, varied randomly by up to 20 % in either direction.
    Milliseconds exchangeInterval { 1000 };
    /// Replaces `exchangeInterval` until a first version is in force.
    Milliseconds startupExchangeInterval { 250 };
    /// Number of digest exchanges, each with a random peer, that start immediately when a new version comes into force.
    uint32_t immediatePeers { 1 };
    /// A row write whose answer was lost is repeated for this long; then the change fails with OutcomeUnknown.
    Milliseconds writeRetryTimeout { 20'000 };
    /// Pause between repetitions of that write.
    Milliseconds writeRetryInterval { 500 };
};

/// Key of the ConfigurationRoot row in the platform's table.
constexpr const char* configurationRootKey = "configuration-root";

/// Holds the configuration in force, that is, the version that this daemon applies. Fetches newer versions from the
/// platform and from peers, and never replaces a version by an older one.
class ConfigurationStore {
public:
    using Listener = std::function<void(const std::shared_ptr<const Configuration>&)>;
    using ApplyDone = std::function<void(absl::StatusOr<ConfigurationVersion>)>;

    ConfigurationStore(EventLoop&, PlatformTable&, PlatformObjects&, ConfigurationPeers&, const ConfigurationStoreSettings&);
    ~ConfigurationStore();

    /// Starts the periodic reads of the root row and the periodic digest exchanges with peers.
    void start();

    /// Adds a listener that is called with each new version when it comes into force.
    void addListener(Listener);

    const InstanceId& instance() const { return m_settings.instance; }

    /// The configuration in force; an empty one with version 0 until the first version is adopted.
    const std::shared_ptr<const Configuration>& current() const { return m_current; }
    const ConfigurationDigest& digest() const { return m_digest; }
    /// The latest changes, newest first.
    const std::vector<ChangeRecord>& history() const { return m_body.history; }

    /// Validates a document and commits it as the next version after `base`. When the document equals that version,
    /// nothing is written and the result is `base`; the first version is always written. Fails with
    /// - TooLarge when the document exceeds 4 MiB;
    /// - MissingField when `author` is empty;
    /// - ConfigurationInvalid, which lists the faults of the document;
    /// - ConfigurationConflict when `base` is not the latest version; the message lists the later changes, if known;
    /// - PlatformUnavailable when the platform could not be read or written and nothing was changed;
    /// - MalformedInput or WrongType when the root row cannot be decoded before the change is written;
    /// - OutcomeUnknown when the outcome could not be determined within `writeRetryTimeout`.
    void apply(ConfigurationVersion base, const std::string& document, const std::string& author, ApplyDone);

    /// Handles a digest received from a peer and returns this daemon's digest. If the peer's version is newer, starts to
    /// fetch it, unless another fetch from a peer is in progress.
    ConfigurationDigest handleExchange(const InstanceId& peer, const ConfigurationDigest&);

    /// Returns the encoded body of the version in force; UnknownResource for any other version, or when none is in force.
    absl::StatusOr<std::string> handleFetch(ConfigurationVersion) const;

private:
    friend class ChangeSubmission;

    bool isNewer(const ConfigurationDigest&) const;
    Milliseconds withJitter(Milliseconds, double share);
    void scheduleRowRead();
    void readRow();
    void adoptFromRow(const ConfigurationRoot&);
    void scheduleExchange();
    void exchangeWithPeer();
    void adoptFromPeer(const InstanceId&, const ConfigurationDigest&);
    /// Brings a version into force. Returns false when it is not newer, or when the body is invalid or does not match
    /// the digest.
    bool adopt(const ConfigurationDigest&, const std::string& encoded);
    std::string newChangeId();

    EventLoop& m_loop;
    PlatformTable& m_table;
    PlatformObjects& m_objects;
    ConfigurationPeers& m_peers;
    ConfigurationStoreSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<Listener> m_listeners;

    std::shared_ptr<const Configuration> m_current;
    ConfigurationDigest m_digest;
    ConfigurationBody m_body;
    std::string m_encodedBody;
    bool m_isFetchingObject { false };
    bool m_isFetchingFromPeer { false };
    /// Pending callbacks hold a weak pointer to this and return early once the store is destroyed.
    std::shared_ptr<bool> m_alive;
};

}
