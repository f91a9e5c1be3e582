#include "daemon/Daemon.h"

#include "base/ResultCode.h"
#include "configuration/ConfigurationStore.h"
#include "control/ControlServer.h"
#include "daemon/ControlPeers.h"
#include "daemon/LoopBridge.h"
#include "daemon/MembershipFeed.h"
#include "daemon/PromotionNotes.h"
#include "gateway/Gateway.h"
#include "net/PollLoop.h"
#include "net/SignalWatch.h"
#include "net/WorkerPool.h"
#include "node/Node.h"
#include "operations/NodeStatus.h"
#include "operations/Operations.h"
#include "peers/PeerClient.h"
#include "platform_http/HttpPlatform.h"
#include "pq/PqConnector.h"
#include "statements/JsonText.h"
#include "telemetry/Journal.h"
#include "telemetry/Metrics.h"

#include <log4cxx/logger.h>
#include <random>
#include <thread>

namespace parsleypaddle {

namespace {

    constexpr unsigned workerThreads = 4;
    constexpr size_t workerQueue = 256;
    constexpr Milliseconds drainQuiet { 250 };
    constexpr Milliseconds drainCheck { 20 };
    constexpr Milliseconds controlLimit { 25'000 };
    constexpr unsigned unavailable = 503;

    log4cxx::LoggerPtr logger()
    {
        static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("daemon");
        return instance;
    }

    void logInfo(const std::string& text)
    {
        LOG4CXX_INFO(logger(), text);
    }

    // Unknown outcomes are rare and worth a line each; the rest is there for those who ask for it.
    void logAnswer(const RequestMeasure& measure, const DatabaseId& database, Term term, const StatementAnswer& answer)
    {
        const auto level = answer.outcome() == Outcome::Unknown ? log4cxx::Level::getWarn() : log4cxx::Level::getDebug();
        if (!logger()->isEnabledFor(level))
            return;
        LOG4CXX_LOG(logger(), level,
            "event=answered request=" << answer.id.value() << " shop=" << measure.organisation.value() << " class=" << measure.workload.value() << " database=" << database.value()
                                      << " term=" << term.value() << " target=" << answer.target.value() << " code=" << static_cast<unsigned>(answer.code)
                                      << " total_ms=" << measure.total.count());
    }

    ControlResult resultOf(const absl::StatusOr<Json::Value>& result)
    {
        if (result.ok())
            return ControlResult::success(writeJson(*result));
        return ControlResult::failure(static_cast<int>(resultCodeOf(result.status())), std::string(result.status().message()));
    }

}

/// Everything a running daemon is made of, in the order in which it has to be built and, backwards, taken down.
class Daemon::Parts {
public:
    absl::Status open(const DaemonSettings&, const DaemonKeys&);
    void run();

private:
    absl::Status openNode(const DaemonKeys&);
    absl::Status openGateway(const DaemonKeys&);
    absl::Status openControl(const DaemonKeys&);
    std::map<std::string, ControlHandler> controlHandlers();

    void handleStatement(StatementRequest, std::function<void(StatementAnswer)>);
    std::optional<Page> page(const std::string& path);
    void setPresentMetrics();

    void haveList(const PlatformList&);
    void startDrain();
    void checkDrained(Instant giveUpAt);

    DaemonSettings m_settings;
    std::unique_ptr<PollLoop> m_loop;
    std::unique_ptr<SignalWatch> m_signals;
    std::unique_ptr<WorkerPool> m_workers;
    Journal m_journal { JournalLimits() };
    Metrics m_metrics { MetricsLimits() };
    std::unique_ptr<HttpPlatform> m_platform;
    std::unique_ptr<TargetConnector> m_targets;
    std::unique_ptr<PeerClient> m_peers;
    std::unique_ptr<Node> m_node;
    std::unique_ptr<MembershipFeed> m_members;
    std::unique_ptr<ControlPeers> m_controlPeers;
    std::unique_ptr<ConfigurationStore> m_store;
    std::unique_ptr<Operations> m_operations;
    std::unique_ptr<Gateway> m_gateway;
    std::unique_ptr<ControlServer> m_control;
    std::mt19937_64 m_random { std::random_device {}() };
    Instant m_busyUntil;
    std::thread m_closer;
};

absl::StatusOr<std::unique_ptr<Daemon>> Daemon::create(const DaemonSettings& settings, const DaemonKeys& keys)
{
    std::unique_ptr<Daemon> daemon(new Daemon);
    if (auto status = daemon->m_parts->open(settings, keys); !status.ok())
        return status;
    return daemon;
}

Daemon::Daemon()
    : m_parts(std::make_unique<Parts>())
{
}

Daemon::~Daemon() = default;

void Daemon::run()
{
    m_parts->run();
}

absl::Status Daemon::Parts::open(const DaemonSettings& settings, const DaemonKeys& keys)
{
    m_settings = settings;
    auto loop = PollLoop::create();
    if (!loop.ok())
        return loop.status();
    m_loop = std::move(*loop);
    m_signals = std::make_unique<SignalWatch>(*m_loop, [this] { startDrain(); });
    auto workers = WorkerPool::create(*m_loop, workerThreads, workerQueue);
    if (!workers.ok())
        return workers.status();
    m_workers = std::move(*workers);
    for (auto step : { &Parts::openNode, &Parts::openGateway, &Parts::openControl }) {
        if (auto status = (this->*step)(keys); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status Daemon::Parts::openNode(const DaemonKeys& keys)
{
    m_platform = std::make_unique<HttpPlatform>(*m_loop, *m_workers, HttpPlatformSettings { m_settings.platform.host, m_settings.platform.port, m_settings.platformTimeout });
    m_platform->onFailure([this] { m_metrics.count(MetricCounter::PlatformErrors); });
    PqSettings targetSettings;
    targetSettings.applicationName = m_settings.failureDomain.value() + "/" + m_settings.instance.value();
    m_targets = PqConnector::create(*m_loop, std::move(targetSettings));
    PeerClientSettings peerSettings;
    peerSettings.key = keys.peer.front();
    auto peers = PeerClient::create(*m_loop, peerSettings);
    if (!peers.ok())
        return peers.status();
    m_peers = std::move(*peers);

    NodeSettings settings;
    settings.self = { m_settings.instance, m_settings.failureDomain, m_settings.listen.host, m_settings.listen.port, m_settings.control.port, false };
    settings.tokenKeys = keys.token;
    settings.seed = m_random();
    auto node = Node::create({ *m_loop, *m_targets, *m_peers }, std::move(settings));
    if (!node.ok())
        return node.status();
    m_node = std::move(*node);
    m_node->onDecision([this](const EntryDecision& it) {
        m_journal.record({ m_loop->now(), it.request, it.database, it.action, it.reason });
        if (it.isRetry)
            m_metrics.count(MetricCounter::Retries);
    });
    m_node->homes().onWorkDone([this](const HomeCall& call, const CallMeasurement& times) {
        m_metrics.recordWork({ call.request.organisation, call.request.workload, times.queueTime, times.runTime });
        if (times.code == ResultCode::TargetSilent)
            m_metrics.count(MetricCounter::SilentConnections);
    });
    m_node->homes().onPromoted([this](const PromotionReport& report) {
        m_metrics.count(MetricCounter::Promotions);
        notePromotion(m_journal, report);
        logInfo("event=promoted database=" + report.database.value() + " primary=" + report.primary.value() + " term=" + std::to_string(report.term.value()));
    });

    MembershipFeedSettings members { m_settings.seedPeers, keys.peer.front(), m_random() };
    m_members = std::make_unique<MembershipFeed>(*m_loop, *m_platform, *m_workers, std::move(members), [this](const PlatformList& list) { haveList(list); });
    m_controlPeers = std::make_unique<ControlPeers>(m_node->membership(), *m_workers, keys.peer.front());
    ConfigurationStoreSettings store;
    store.instance = m_settings.instance;
    store.seed = m_random();
    m_store = std::make_unique<ConfigurationStore>(*m_loop, *m_platform, *m_platform, *m_controlPeers, store);
    m_store->addListener([this](const std::shared_ptr<const Configuration>& configuration) {
        m_node->setConfiguration(configuration);
        m_metrics.count(MetricCounter::ConfigurationChanges);
        m_metrics.set(MetricGauge::ConfigurationVersion, static_cast<double>(configuration->version.value()));
        logInfo("event=configuration_in_force version=" + std::to_string(configuration->version.value()));
    });
    m_operations = std::make_unique<Operations>(OperationsPorts {
        *m_store,
        m_journal,
        [this] { return collectDaemonStatus(*m_node, *m_store, m_loop->now()); },
        [this] { startDrain(); } });
    return absl::OkStatus();
}

absl::Status Daemon::Parts::openGateway(const DaemonKeys& keys)
{
    GatewaySettings settings;
    settings.host = m_settings.listen.host;
    settings.port = m_settings.listen.port;
    settings.maximumBodyBytes = m_settings.largestBody;
    settings.connectionLimit = m_settings.callerLimit;
    settings.peerKeys = keys.peer;
    GatewayHandlers handlers;
    handlers.onStatement = [this](StatementRequest request, std::function<void(StatementAnswer)> done) { handleStatement(std::move(request), std::move(done)); };
    handlers.onHomeCall = [this](const HomeCall& call, std::function<void(HomeReply)> done) { m_node->handleHomeCall(call, std::move(done)); };
    handlers.onPage = [this](const std::string& path) { return page(path); };
    auto gateway = Gateway::create(*m_loop, std::move(settings), std::move(handlers));
    if (!gateway.ok())
        return gateway.status();
    m_gateway = std::move(*gateway);
    return absl::OkStatus();
}

absl::Status Daemon::Parts::openControl(const DaemonKeys& keys)
{
    std::string error;
    m_control = ControlServer::create(m_settings.control.host, m_settings.control.port, keys.peer, controlHandlers(), error);
    if (!m_control)
        return makeError(ResultCode::ValueOutOfRange, "control interface: " + error);
    return absl::OkStatus();
}

std::map<std::string, ControlHandler> Daemon::Parts::controlHandlers()
{
    std::map<std::string, ControlHandler> handlers;
    for (const auto& method : Operations::methods()) {
        const LoopHandler handler = [this, method](const std::string& parameters, const std::function<void(ControlResult)>& answer) {
            auto object = parseJsonObject(parameters);
            if (!object.ok())
                return answer(resultOf(object.status()));
            m_operations->call(method, *object, [answer](const absl::StatusOr<Json::Value>& result) { answer(resultOf(result)); });
        };
        handlers[method] = bridgeToLoop(*m_loop, handler, controlLimit);
    }
    return handlers;
}

void Daemon::Parts::run()
{
    logInfo("event=started instance=" + m_settings.instance.value() + " port=" + std::to_string(m_gateway->port()) + " control_port=" + std::to_string(m_control->port()));
    m_store->start();
    m_members->start();
    m_loop->run();
    m_closer.join();
    logInfo("event=stopped instance=" + m_settings.instance.value());
}

void Daemon::Parts::handleStatement(StatementRequest request, std::function<void(StatementAnswer)> done)
{
    RequestMeasure measure;
    measure.organisation = request.organisation;
    measure.workload = request.workload;
    measure.wasRead = request.mode == AccessMode::Read;
    const Instant arrivedAt = m_loop->now();
    const DatabaseId database = request.database;
    m_node->handleRequest(std::move(request), [this, measure, arrivedAt, database, done = std::move(done)](StatementAnswer answer) mutable {
        measure.code = answer.code;
        measure.total = m_loop->now() - arrivedAt;
        measure.wasReplicaRead = measure.wasRead && !answer.target.isEmpty() && answer.target != m_node->view(database).primary;
        m_metrics.recordRequest(measure);
        logAnswer(measure, database, m_node->view(database).term, answer);
        done(std::move(answer));
    });
}

std::optional<Page> Daemon::Parts::page(const std::string& path)
{
    Page page;
    if (path == "/metrics") {
        setPresentMetrics();
        page.body = m_metrics.text();
        return page;
    }
    if (path != "/health")
        return std::nullopt;
    const bool isReady = m_members->hasList() && m_store->current()->version.value() > 0;
    page.body = m_node->isDraining() ? "leaving\n" : isReady ? "ready\n"
                                                             : "starting\n";
    page.status = isReady && !m_node->isDraining() ? page.status : unavailable;
    return page;
}

void Daemon::Parts::setPresentMetrics()
{
    m_metrics.set(MetricGauge::RequestsInFlight, static_cast<double>(m_gateway->requestsInFlight()));
    // While draining, the control server is taken down on another thread.
    if (!m_node->isDraining())
        m_metrics.raiseTo(MetricCounter::KeysRefused, static_cast<double>(m_gateway->counts().rejectedKeys + m_control->refusedKeys()));
    uint32_t connections = 0;
    for (const auto& it : m_node->homes().targetHomes())
        connections += it.second->pool().openConnections();
    m_metrics.set(MetricGauge::TargetConnections, connections);
}

void Daemon::Parts::haveList(const PlatformList& list)
{
    m_node->setPlatformList(list);
    m_peers->setPeers(m_node->membership().instances());
    m_metrics.set(MetricGauge::InstancesListed, static_cast<double>(list.instances.size()));
}

void Daemon::Parts::startDrain()
{
    if (m_node->isDraining())
        return;
    logInfo("event=draining instance=" + m_settings.instance.value());
    m_metrics.set(MetricGauge::IsDraining, 1);
    m_node->startDraining();
    m_loop->after(m_settings.drainGrace, [this] {
        m_gateway->stopAccepting();
        m_busyUntil = m_loop->now();
        checkDrained(m_loop->now() + m_settings.drainLimit);
    });
}

void Daemon::Parts::checkDrained(Instant giveUpAt)
{
    const bool isIdle = m_gateway->requestsInFlight() == 0 && m_node->isIdle();
    if (!isIdle)
        m_busyUntil = m_loop->now();
    // Callers may still send on connections that they keep; the last of them are waited for a little.
    const bool isDrained = isIdle && m_loop->now() - m_busyUntil >= drainQuiet;
    if (!isDrained && m_loop->now() < giveUpAt) {
        m_loop->after(drainCheck, [this, giveUpAt] { checkDrained(giveUpAt); });
        return;
    }
    logInfo(std::string("event=drained complete=") + (isDrained ? "yes" : "no"));
    // Control calls under way wait for the loop, so it runs on until their server has closed.
    m_closer = std::thread([this] {
        m_control.reset();
        m_loop->stop();
    });
}

}
