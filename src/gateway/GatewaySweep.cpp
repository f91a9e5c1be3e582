#include "gateway/GatewayServer.h"

#include "gateway/HttpStatus.h"
#include "statements/StatementJson.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

// Periodic check for requests that are received too slowly and callers that disconnect before their answer.

namespace parsleypaddle {

namespace {

    constexpr Milliseconds sweepInterval { 500 };

    int descriptorOf(MHD_Connection* connection)
    {
        return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    }

    bool isClosedByPeer(int descriptor)
    {
        char buf = 0;
        const ssize_t n = recv(descriptor, &buf, sizeof(buf), MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
    }

}

void Gateway::Server::scheduleSweep()
{
    if (m_sweepTimer != TimerId::None)
        return;
    m_sweepTimer = m_loop.after(std::min(sweepInterval, m_settings.requestTimeout), [this] {
        m_sweepTimer = TimerId::None;
        sweep();
    });
}

void Gateway::Server::sweep()
{
    const Instant now = m_loop.now();
    for (const auto& it : m_receiving) {
        if (now - it->arrivedAt < m_settings.requestTimeout)
            break;
        if (!it->isDisconnected)
            rejectSlowRequest(*it);
    }
    for (const auto& it : m_received) {
        const bool isWaiting = it->isSuspended && now - it->arrivedAt >= sweepInterval;
        if (isWaiting && !it->isDisconnected && isClosedByPeer(descriptorOf(it->connection)))
            reportDisconnect(*it);
    }
    if (requestsInFlight() > 0)
        scheduleSweep();
}

void Gateway::Server::rejectSlowRequest(Exchange& exchange)
{
    exchange.isDisconnected = true;
    ++m_counts.timeouts;
    ++m_counts.rejected;
    StatementAnswer rejection;
    rejection.code = ResultCode::InputTooSlow;
    rejection.message = absl::StrCat("the request was not received completely within ", m_settings.requestTimeout.count(), " ms");
    const std::string body = encodeStatementAnswer(rejection);
    const unsigned status = httpStatusOf(rejection.code);
    // libmicrohttpd accepts no response while a request is being received, so the response is written to the socket here.
    // This cannot mix with another response: an earlier request on the connection has been answered completely.
    const std::string text = absl::StrCat("HTTP/1.1 ", status, " ", MHD_get_reason_phrase_for(status),
        "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    const int descriptor = descriptorOf(exchange.connection);
    (void)!send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(descriptor, SHUT_RDWR);
}

void Gateway::Server::reportDisconnect(Exchange& exchange)
{
    exchange.isDisconnected = true;
    ++m_counts.disconnects;
    if (m_handlers.onDisconnected && !exchange.id.isEmpty())
        m_handlers.onDisconnected(exchange.id);
}

}
