#include "gateway/GatewayServer.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <absl/strings/str_cat.h>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

// libmicrohttpd parses and writes HTTP. The event loop watches its epoll descriptor, so that its callbacks run on the
// loop's thread.

namespace parsleypaddle {

namespace {

    // Room for a request's header and one part of its body; larger bodies are received in several parts.
    constexpr size_t connectionMemoryBytes = size_t { 6 } * 1024;
    constexpr unsigned listenBacklog = 1024;
    // Calls of MHD_run() in a row before the loop's other tasks get their turn.
    constexpr int maximumConsecutiveRuns = 4;
    constexpr double millisecondsPerSecond = 1000;

    absl::StatusOr<Poco::Net::SocketAddress> addressOf(const GatewaySettings& settings)
    {
        try {
            return Poco::Net::SocketAddress(Poco::Net::IPAddress(settings.host), settings.port);
        } catch (const Poco::Exception& ec) {
            return makeError(ResultCode::ValueOutOfRange, absl::StrCat("host: found \"", settings.host, "\", expected an IP address (", ec.displayText(), ")"));
        }
    }

}

Gateway::Server::Server(PollLoop& loop, GatewaySettings settings, GatewayHandlers handlers)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_handlers(std::move(handlers))
{
}

Gateway::Server::~Server()
{
    m_loop.cancel(m_runTimer);
    m_loop.cancel(m_sweepTimer);
    if (!m_httpDaemon)
        return;
    // MHD_stop_daemon() requires that no connection is suspended.
    for (const auto& it : m_received) {
        if (it->isSuspended)
            MHD_resume_connection(it->connection);
    }
    m_loop.unwatch(m_pollDescriptor);
    MHD_stop_daemon(m_httpDaemon);
}

absl::Status Gateway::Server::start()
{
    const auto address = addressOf(m_settings);
    if (!address.ok())
        return address.status();
    auto workers = WorkerPool::create(m_loop, m_settings.workerThreads, m_settings.connectionLimit);
    if (!workers.ok())
        return workers.status();
    m_workers = *std::move(workers);
    unsigned flags = MHD_USE_EPOLL | MHD_USE_TURBO | MHD_ALLOW_SUSPEND_RESUME;
    if (address->af() == AF_INET6)
        flags |= MHD_USE_IPv6;
    m_httpDaemon = MHD_start_daemon(flags, m_settings.port, nullptr, nullptr, &Server::onAccess, this,
        MHD_OPTION_SOCK_ADDR, address->addr(),
        MHD_OPTION_URI_LOG_CALLBACK, &Server::onRequestLine, this,
        MHD_OPTION_NOTIFY_COMPLETED, &Server::onCompleted, this,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemoryBytes,
        MHD_OPTION_CONNECTION_LIMIT, m_settings.connectionLimit,
        MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(std::ceil(m_settings.idleTimeout.count() / millisecondsPerSecond)),
        MHD_OPTION_LISTEN_BACKLOG_SIZE, listenBacklog,
        MHD_OPTION_END);
    if (!m_httpDaemon)
        return makeError(ResultCode::ValueOutOfRange, absl::StrCat("cannot listen at ", address->toString(), ": ", std::strerror(errno)));
    m_port = MHD_get_daemon_info(m_httpDaemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    m_pollDescriptor = MHD_get_daemon_info(m_httpDaemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_loop.watch(m_pollDescriptor, Readiness::Read, [this](Readiness) { runHttpDaemon(); });
    return absl::OkStatus();
}

void Gateway::Server::stopAccepting()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    const int listener = MHD_quiesce_daemon(m_httpDaemon);
    if (listener < 0)
        return;
    acceptWaiting(listener);
    close(listener);
}

// The kernel resets connections that wait to be accepted when their listener closes, with the requests that were sent on them.
void Gateway::Server::acceptWaiting(int listener)
{
    for (;;) {
        sockaddr_storage address {};
        socklen_t length = sizeof(address);
        auto* caller = reinterpret_cast<sockaddr*>(&address);
        const int connection = accept4(listener, caller, &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection < 0)
            break;
        MHD_add_connection(m_httpDaemon, connection, caller, length);
    }
    scheduleRun(Milliseconds(0));
}

size_t Gateway::Server::connections() const
{
    return MHD_get_daemon_info(m_httpDaemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections;
}

void Gateway::Server::runHttpDaemon()
{
    for (int n = 0; n < maximumConsecutiveRuns; ++n) {
        MHD_run(m_httpDaemon);
        MHD_UNSIGNED_LONG_LONG wait = 0;
        if (MHD_get_timeout(m_httpDaemon, &wait) != MHD_YES)
            return;
        if (wait > 0) {
            scheduleRun(Milliseconds(static_cast<double>(wait)));
            return;
        }
    }
    scheduleRun(Milliseconds(0));
}

void Gateway::Server::scheduleRun(Milliseconds delay)
{
    const Instant due = m_loop.now() + delay;
    if (m_runTimer != TimerId::None && m_nextRunAt <= due)
        return;
    m_loop.cancel(m_runTimer);
    m_nextRunAt = due;
    m_runTimer = m_loop.after(delay, [this] {
        m_runTimer = TimerId::None;
        runHttpDaemon();
    });
}

void* Gateway::Server::onRequestLine(void* server, const char*, MHD_Connection* connection)
{
    auto* self = static_cast<Server*>(server);
    auto exchange = std::make_shared<Exchange>();
    exchange->connection = connection;
    exchange->arrivedAt = self->m_loop.now();
    self->m_receiving.push_back(exchange);
    exchange->listPosition = std::prev(self->m_receiving.end());
    self->scheduleSweep();
    return exchange.get();
}

MHD_Result Gateway::Server::onAccess(void* server, MHD_Connection*, const char* url, const char* method, const char*,
    const char* upload, size_t* uploadSize, void** state)
{
    auto* self = static_cast<Server*>(server);
    auto* exchange = static_cast<Exchange*>(*state);
    if (exchange->phase == ExchangePhase::ReceivingHeader) {
        self->receiveHeader(*exchange, url, method);
        return MHD_YES;
    }
    if (*uploadSize > 0) {
        self->receiveBody(*exchange, upload, *uploadSize);
        *uploadSize = 0;
        return MHD_YES;
    }
    return self->dispatch(*exchange);
}

void Gateway::Server::onCompleted(void* server, MHD_Connection*, void** state, MHD_RequestTerminationCode)
{
    auto* self = static_cast<Server*>(server);
    auto* exchange = static_cast<Exchange*>(*state);
    if (!exchange)
        return;
    *state = nullptr;
    self->releaseBody(*exchange);
    const bool isReceiving = exchange->phase <= ExchangePhase::DiscardingBody;
    (isReceiving ? self->m_receiving : self->m_received).erase(exchange->listPosition);
}

}
