#include "configuration/ConfigurationStore.h"

#include "base/ResultCode.h"
#include "configuration/ChangeSubmission.h"
#include "configuration/ConfigurationYaml.h"

#include <iomanip>
#include <sstream>

namespace parsleypaddle {

namespace {

    constexpr double rowReadJitter = 0.5;
    constexpr double exchangeJitter = 0.2;

}

ConfigurationStore::ConfigurationStore(EventLoop& loop, PlatformTable& table, PlatformObjects& objects, ConfigurationPeers& peers, const ConfigurationStoreSettings& settings)
    : m_loop(loop)
    , m_table(table)
    , m_objects(objects)
    , m_peers(peers)
    , m_settings(settings)
    , m_random(settings.seed)
    , m_current(std::make_shared<Configuration>())
    , m_alive(std::make_shared<bool>(true))
{
}

ConfigurationStore::~ConfigurationStore() = default;

void ConfigurationStore::start()
{
    // The random delay spreads the first reads of daemons that start at the same time, to limit the platform's load.
    const double share = std::uniform_real_distribution<double>(0, 1)(m_random);
    m_loop.after(m_settings.exchangeInterval * share, [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            readRow();
    });
    scheduleExchange();
}

void ConfigurationStore::addListener(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

bool ConfigurationStore::isNewer(const ConfigurationDigest& digest) const
{
    return digest.version > m_digest.version;
}

Milliseconds ConfigurationStore::withJitter(Milliseconds pause, double share)
{
    return pause * std::uniform_real_distribution<double>(1 - share, 1 + share)(m_random);
}

std::string ConfigurationStore::newChangeId()
{
    std::stringstream buf;
    buf << m_settings.instance.value() << '-' << std::fixed << std::setprecision(0) << m_loop.now().sinceEpoch() << '-' << std::hex << m_random();
    return buf.str();
}

void ConfigurationStore::scheduleRowRead()
{
    m_loop.after(withJitter(m_settings.rowReadInterval, rowReadJitter), [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            readRow();
    });
}

void ConfigurationStore::readRow()
{
    m_table.read(configurationRootKey, [this, alive = std::weak_ptr<bool>(m_alive)](const auto& row) {
        if (alive.expired())
            return;
        if (row.ok() && row->has_value()) {
            const auto root = decodeRoot((*row)->value);
            if (root.ok())
                adoptFromRow(*root);
        }
        scheduleRowRead();
    });
}

void ConfigurationStore::adoptFromRow(const ConfigurationRoot& root)
{
    if (!isNewer(root.digest) || m_isFetchingObject)
        return;
    m_isFetchingObject = true;
    m_objects.get(root.object, [this, digest = root.digest, alive = std::weak_ptr<bool>(m_alive)](const auto& body) {
        if (alive.expired())
            return;
        m_isFetchingObject = false;
        if (body.ok() && body->has_value())
            adopt(digest, **body);
    });
}

void ConfigurationStore::scheduleExchange()
{
    const bool isStarting = m_digest.version == ConfigurationVersion();
    const Milliseconds pause = isStarting ? m_settings.startupExchangeInterval : m_settings.exchangeInterval;
    m_loop.after(withJitter(pause, exchangeJitter), [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.expired())
            return;
        exchangeWithPeer();
        scheduleExchange();
    });
}

void ConfigurationStore::exchangeWithPeer()
{
    const InstanceId peer = m_peers.pick(m_random());
    if (peer.isEmpty())
        return;
    m_peers.exchange(peer, m_digest, [this, peer, alive = std::weak_ptr<bool>(m_alive)](const auto& digest) {
        if (!alive.expired() && digest.ok())
            adoptFromPeer(peer, *digest);
    });
}

ConfigurationDigest ConfigurationStore::handleExchange(const InstanceId& peer, const ConfigurationDigest& digest)
{
    adoptFromPeer(peer, digest);
    return m_digest;
}

void ConfigurationStore::adoptFromPeer(const InstanceId& peer, const ConfigurationDigest& digest)
{
    if (!isNewer(digest) || m_isFetchingFromPeer)
        return;
    m_isFetchingFromPeer = true;
    m_peers.fetch(peer, digest.version, [this, digest, alive = std::weak_ptr<bool>(m_alive)](const auto& body) {
        if (alive.expired())
            return;
        m_isFetchingFromPeer = false;
        if (body.ok())
            adopt(digest, *body);
    });
}

absl::StatusOr<std::string> ConfigurationStore::handleFetch(ConfigurationVersion version) const
{
    if (version != m_digest.version || m_encodedBody.empty())
        return makeError(ResultCode::UnknownResource, "version " + std::to_string(version.value()) + " is not in force on this daemon");
    return m_encodedBody;
}

bool ConfigurationStore::adopt(const ConfigurationDigest& digest, const std::string& encoded)
{
    if (!isNewer(digest) || hashOf(encoded) != digest.bodyHash)
        return false;
    auto body = decodeBody(encoded);
    if (!body.ok())
        return false;
    auto configuration = loadConfiguration(body->document, "body");
    if (!configuration.ok() || configuration->version != digest.version)
        return false;
    m_current = std::make_shared<const Configuration>(std::move(*configuration));
    m_digest = digest;
    m_body = std::move(*body);
    m_encodedBody = encoded;
    for (const auto& it : m_listeners)
        it(m_current);
    for (uint32_t n = 0; n < m_settings.immediatePeers; ++n)
        exchangeWithPeer();
    return true;
}

void ConfigurationStore::apply(ConfigurationVersion base, const std::string& document, const std::string& author, ApplyDone done)
{
    ChangeSubmission::start(*this, base, document, author, std::move(done));
}

}
