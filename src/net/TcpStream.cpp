#include "net/TcpStream.h"

#include <Poco/Exception.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace parsleypaddle {

namespace {

    constexpr size_t chunkSize = 16'384;
    /// A message is at most 1 MiB; an end that leaves several of them unread is given up.
    constexpr size_t greatestUnsent = size_t { 4 } * 1024 * 1024;
    constexpr size_t greatestInput = size_t { 2 } * 1024 * 1024;
    /// Sent bytes that stay unacknowledged for so long mean that the path is cut; round trips take a few milliseconds.
    constexpr int unacknowledgedLimitMilliseconds = 1500;
    constexpr int keepAliveIdleSeconds = 5;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 2;

    void setUp(Poco::Net::StreamSocket& socket)
    {
        socket.setBlocking(false);
        socket.setNoDelay(true);
        socket.setKeepAlive(true);
        socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
        socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
        socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
        socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedLimitMilliseconds);
    }

}

absl::StatusOr<std::shared_ptr<TcpStream>> TcpStream::connect(PollLoop& loop, const std::string& host, uint16_t port)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connectNB(Poco::Net::SocketAddress(host, port));
        setUp(socket);
        std::shared_ptr<TcpStream> stream(new TcpStream(loop, socket));
        stream->m_waitsToWrite = true;
        return stream;
    } catch (const Poco::Exception& ec) {
        return absl::UnavailableError(ec.displayText());
    }
}

std::shared_ptr<TcpStream> TcpStream::adopt(PollLoop& loop, const Poco::Net::StreamSocket& socket)
{
    std::shared_ptr<TcpStream> stream(new TcpStream(loop, socket));
    try {
        setUp(stream->m_socket);
    } catch (const Poco::Exception&) {
        // The other end has left already; the first read says so.
        stream->m_waitsToWrite = true;
    }
    return stream;
}

TcpStream::TcpStream(PollLoop& loop, const Poco::Net::StreamSocket& socket)
    : m_loop(loop)
    , m_socket(socket)
{
}

TcpStream::~TcpStream()
{
    close();
}

void TcpStream::start(Received received, Closed closed)
{
    m_received = std::move(received);
    m_closed = std::move(closed);
    watch();
}

bool TcpStream::send(std::string_view bytes)
{
    if (!m_isOpen)
        return false;
    if (m_unsent.size() + bytes.size() > greatestUnsent) {
        fail();
        return false;
    }
    m_unsent.append(bytes);
    // While the connection opens or the other end is slow, the loop sends on.
    if (m_waitsToWrite)
        return true;
    if (!flush()) {
        // The owner hears of it from the loop, not from within its own call.
        m_waitsToWrite = true;
        watch();
        return true;
    }
    if (!m_unsent.empty()) {
        m_waitsToWrite = true;
        watch();
    }
    return true;
}

void TcpStream::close()
{
    if (!m_isOpen)
        return;
    if (!m_unsent.empty() && !m_waitsToWrite)
        flush();
    m_isOpen = false;
    m_loop.unwatch(m_socket.impl()->sockfd());
    m_socket.close();
}

void TcpStream::watch()
{
    const Readiness interest = m_waitsToWrite ? Readiness::Read | Readiness::Write : Readiness::Read;
    m_loop.watch(m_socket.impl()->sockfd(), interest, [weak = weak_from_this()](Readiness ready) {
        if (auto self = weak.lock())
            self->ready(ready);
    });
}

void TcpStream::ready(Readiness ready)
{
    if (has(ready, Readiness::Write)) {
        if (!flush())
            return fail();
        if (m_unsent.empty()) {
            m_waitsToWrite = false;
            watch();
        }
    }
    if ((has(ready, Readiness::Read) || has(ready, Readiness::Failure)) && !receive())
        fail();
}

bool TcpStream::receive()
{
    std::array<char, chunkSize> chunk {};
    bool isEnded = false;
    while (true) {
        const ssize_t n = recv(m_socket.impl()->sockfd(), chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (n > 0)
            m_input.append(chunk.data(), static_cast<size_t>(n));
        isEnded = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
        // A short read has emptied the socket, which saves the call that would only say so.
        if (n < static_cast<ssize_t>(chunk.size()) || m_input.size() > greatestInput)
            break;
    }
    if (!m_input.empty() && m_received) {
        std::string input;
        input.swap(m_input);
        const size_t used = m_received(input);
        if (!m_isOpen)
            return true;
        m_input.insert(0, input, used, std::string::npos);
    }
    return !isEnded && m_input.size() <= greatestInput;
}

bool TcpStream::flush()
{
    while (!m_unsent.empty()) {
        const ssize_t n = ::send(m_socket.impl()->sockfd(), m_unsent.data(), m_unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0)
            return errno == EAGAIN || errno == EINTR;
        m_unsent.erase(0, static_cast<size_t>(n));
    }
    return true;
}

void TcpStream::fail()
{
    auto self = shared_from_this();
    Closed closed = std::move(m_closed);
    close();
    if (closed)
        closed();
}

}
