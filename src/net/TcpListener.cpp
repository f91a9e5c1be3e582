#include "net/TcpListener.h"

#include <Poco/Exception.h>

namespace parsleypaddle {

namespace {

    /// Connections that may wait to be accepted: many callers return at once after a failure.
    constexpr int backlog = 1024;

}

absl::StatusOr<std::unique_ptr<TcpListener>> TcpListener::create(PollLoop& loop, const std::string& host, uint16_t port, Accepted accepted)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(host, port), true);
        socket.listen(backlog);
        socket.setBlocking(false);
        return std::unique_ptr<TcpListener>(new TcpListener(loop, socket, std::move(accepted)));
    } catch (const Poco::Exception& ec) {
        return absl::UnavailableError("cannot listen on " + host + ":" + std::to_string(port) + ": " + ec.displayText());
    }
}

TcpListener::TcpListener(PollLoop& loop, const Poco::Net::ServerSocket& socket, Accepted accepted)
    : m_loop(loop)
    , m_socket(socket)
    , m_accepted(std::move(accepted))
{
    m_loop.watch(m_socket.impl()->sockfd(), Readiness::Read, [this](Readiness) { accept(); });
}

TcpListener::~TcpListener()
{
    m_loop.unwatch(m_socket.impl()->sockfd());
}

// One a turn: the loop comes back while more of them wait.
void TcpListener::accept()
{
    try {
        m_accepted(TcpStream::adopt(m_loop, m_socket.acceptConnection()));
    } catch (const Poco::Exception&) {
        // The caller left before it was accepted, or descriptors are short; the loop tries again.
        return;
    }
}

}
