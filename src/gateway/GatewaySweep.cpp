#include "gateway/GatewayServer.h"

#include "gateway/HttpStatus.h"
#include "statements/StatementJson.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

// Requests that take too long to arrive, and callers that left before their answer.

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
        if (now - it->arrived < m_settings.requestTimeout)
            break;
        if (!it->isDeparted)
            endSlowRequest(*it);
    }
    for (const auto& it : m_received) {
        const bool isWaiting = it->isSuspended && now - it->arrived >= sweepInterval;
        if (isWaiting && !it->isDeparted && isClosedByPeer(descriptorOf(it->connection)))
            noticeDeparture(*it);
    }
    if (requestsInFlight() > 0)
        scheduleSweep();
}

void Gateway::Server::endSlowRequest(Exchange& exchange)
{
    exchange.isDeparted = true;
    ++m_counts.tooSlow;
    ++m_counts.refused;
    StatementAnswer refusal;
    refusal.code = ResultCode::InputTooSlow;
    refusal.message = absl::StrCat("the request did not arrive whole within ", m_settings.requestTimeout.count(), " ms");
    const std::string body = encodeStatementAnswer(refusal);
    const unsigned status = httpStatusOf(refusal.code);
    // libmicrohttpd takes no response while a body is arriving; nothing else has been sent on this connection.
    const std::string text = absl::StrCat("HTTP/1.1 ", status, " ", MHD_get_reason_phrase_for(status),
        "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    const int descriptor = descriptorOf(exchange.connection);
    (void)!send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(descriptor, SHUT_RDWR);
}

void Gateway::Server::noticeDeparture(Exchange& exchange)
{
    exchange.isDeparted = true;
    ++m_counts.departed;
    if (m_handlers.onDeparted && !exchange.id.isEmpty())
        m_handlers.onDeparted(exchange.id);
}

}
