#include "gateway/GatewayServer.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <absl/strings/str_cat.h>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <unistd.h>

// libmicrohttpd parses and writes HTTP; its epoll descriptor is watched by the daemon's loop, so that all runs on one thread.

namespace parsleypaddle {

namespace {

    // Holds a request's head and one piece of its body; larger bodies arrive in several pieces.
    constexpr size_t connectionMemory = size_t { 6 } * 1024;
    constexpr unsigned listenBacklog = 1024;
    constexpr int runsInARow = 4;
    constexpr double millisecondsPerSecond = 1000;

    absl::StatusOr<Poco::Net::SocketAddress> addressOf(const GatewaySettings& settings)
    {
        try {
            return Poco::Net::SocketAddress(Poco::Net::IPAddress(settings.host), settings.port);
        } catch (const Poco::Exception& ec) {
            return makeError(ResultCode::ValueOutOfRange, absl::StrCat("host: found \"", settings.host, "\", expected an IP number (", ec.displayText(), ")"));
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
    if (!m_daemon)
        return;
    // libmicrohttpd does not stop while connections are suspended.
    for (const auto& it : m_received) {
        if (it->isSuspended)
            MHD_resume_connection(it->connection);
    }
    m_loop.unwatch(m_pollDescriptor);
    MHD_stop_daemon(m_daemon);
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
    m_daemon = MHD_start_daemon(flags, m_settings.port, nullptr, nullptr, &Server::onAccess, this,
        MHD_OPTION_SOCK_ADDR, address->addr(),
        MHD_OPTION_URI_LOG_CALLBACK, &Server::onRequestLine, this,
        MHD_OPTION_NOTIFY_COMPLETED, &Server::onCompleted, this,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemory,
        MHD_OPTION_CONNECTION_LIMIT, m_settings.connectionLimit,
        MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(std::ceil(m_settings.idleTimeout.count() / millisecondsPerSecond)),
        MHD_OPTION_LISTEN_BACKLOG_SIZE, listenBacklog,
        MHD_OPTION_END);
    if (!m_daemon)
        return makeError(ResultCode::ValueOutOfRange, absl::StrCat("cannot listen at ", address->toString(), ": ", std::strerror(errno)));
    m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    m_pollDescriptor = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_loop.watch(m_pollDescriptor, Readiness::Read, [this](Readiness) { runDaemon(); });
    return absl::OkStatus();
}

void Gateway::Server::stopAccepting()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    const int listener = MHD_quiesce_daemon(m_daemon);
    if (listener >= 0)
        close(listener);
}

size_t Gateway::Server::connections() const
{
    return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections;
}

void Gateway::Server::runDaemon()
{
    for (int n = 0; n < runsInARow; ++n) {
        MHD_run(m_daemon);
        MHD_UNSIGNED_LONG_LONG wait = 0;
        if (MHD_get_timeout(m_daemon, &wait) != MHD_YES)
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
    if (m_runTimer != TimerId::None && m_runDue <= due)
        return;
    m_loop.cancel(m_runTimer);
    m_runDue = due;
    m_runTimer = m_loop.after(delay, [this] {
        m_runTimer = TimerId::None;
        runDaemon();
    });
}

void* Gateway::Server::onRequestLine(void* server, const char*, MHD_Connection* connection)
{
    auto* self = static_cast<Server*>(server);
    auto exchange = std::make_shared<Exchange>();
    exchange->connection = connection;
    exchange->arrived = self->m_loop.now();
    self->m_receiving.push_back(exchange);
    exchange->place = std::prev(self->m_receiving.end());
    self->scheduleSweep();
    return exchange.get();
}

MHD_Result Gateway::Server::onAccess(void* server, MHD_Connection*, const char* url, const char* method, const char*,
    const char* upload, size_t* uploadSize, void** state)
{
    auto* self = static_cast<Server*>(server);
    auto* exchange = static_cast<Exchange*>(*state);
    if (exchange->phase == ExchangePhase::Head) {
        self->receiveHead(*exchange, url, method);
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
    const bool isReceiving = exchange->phase <= ExchangePhase::Discarding;
    (isReceiving ? self->m_receiving : self->m_received).erase(exchange->place);
}

}
