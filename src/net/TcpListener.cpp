#include "net/TcpListener.h"

#include <Poco/Exception.h>

namespace parsleypaddle {

namespace {

    /// Connections that may wait to be accepted; large, because many callers reconnect at the same time after a failure.
    constexpr int backlog = 1024;

}

absl::StatusOr<std::unique_ptr<TcpListener>> TcpListener::create(PollLoop& loop, const std::string& host, uint16_t port, AcceptCallback onAccept)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(host, port), true);
        socket.listen(backlog);
        socket.setBlocking(false);
        return std::unique_ptr<TcpListener>(new TcpListener(loop, socket, std::move(onAccept)));
    } catch (const Poco::Exception& ec) {
        return absl::UnavailableError("cannot listen on " + host + ":" + std::to_string(port) + ": " + ec.displayText());
    }
}

TcpListener::TcpListener(PollLoop& loop, const Poco::Net::ServerSocket& socket, AcceptCallback onAccept)
    : m_loop(loop)
    , m_socket(socket)
    , m_onAccept(std::move(onAccept))
{
    m_loop.watch(m_socket.impl()->sockfd(), Readiness::Read, [this](Readiness) { acceptNext(); });
}

TcpListener::~TcpListener()
{
    m_loop.unwatch(m_socket.impl()->sockfd());
}

void TcpListener::acceptWaiting()
{
    for (int n = 0; n < backlog && acceptNext(); ++n) { }
}

// Accepts one connection per loop iteration; the socket stays readable while more are waiting.
bool TcpListener::acceptNext()
{
    try {
        m_onAccept(TcpStream::adopt(m_loop, m_socket.acceptConnection()));
        return true;
    } catch (const Poco::Exception&) {
        // The caller closed the connection before it was accepted, or no file descriptor is free; the next iteration retries.
        return false;
    }
}

}
