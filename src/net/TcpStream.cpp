#include "net/TcpStream.h"

#include <Poco/Exception.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace parsleypaddle {

namespace {

    constexpr size_t chunkBytes = 16'384;
    /// A stream that has more unsent bytes when further ones are to be sent is closed, because its peer does not read fast enough.
    constexpr size_t maxUnsentBytes = size_t { 4 } * 1024 * 1024;
    constexpr size_t maxInputBytes = size_t { 2 } * 1024 * 1024;
    /// The kernel closes a connection whose sent bytes stay unacknowledged for this long. A round trip takes a few milliseconds,
    /// so the network path is probably broken by then.
    constexpr int unacknowledgedLimitMilliseconds = 1500;
    constexpr int keepAliveIdleSeconds = 5;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 2;

    void configure(Poco::Net::StreamSocket& socket)
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
        configure(socket);
        std::shared_ptr<TcpStream> stream(new TcpStream(loop, socket));
        stream->m_isWaitingToWrite = true;
        return stream;
    } catch (const Poco::Exception& ec) {
        return absl::UnavailableError(ec.displayText());
    }
}

std::shared_ptr<TcpStream> TcpStream::adopt(PollLoop& loop, const Poco::Net::StreamSocket& socket)
{
    std::shared_ptr<TcpStream> stream(new TcpStream(loop, socket));
    try {
        configure(stream->m_socket);
    } catch (const Poco::Exception&) {
        // The peer has closed the connection already; the first read reports that.
        stream->m_isWaitingToWrite = true;
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

void TcpStream::startReceiving(ReceiveCallback onReceive, CloseCallback onClose)
{
    m_onReceive = std::move(onReceive);
    m_onClose = std::move(onClose);
    watchSocket();
}

void TcpStream::stopReceiving()
{
    if (!m_isOpen || !m_isReceiving)
        return;
    m_isReceiving = false;
    watchSocket();
}

bool TcpStream::send(std::string_view bytes)
{
    if (!m_isOpen)
        return false;
    if (unsent() > maxUnsentBytes) {
        closeAndNotify();
        return false;
    }
    // Removing what was sent only once it is half of the buffer keeps the cost of a large buffer linear.
    if (m_sent > m_unsent.size() / 2) {
        m_unsent.erase(0, m_sent);
        m_sent = 0;
    }
    m_unsent.append(bytes);
    // While the connection is being opened or the peer is slow, the loop sends the rest once the socket is writable.
    if (m_isWaitingToWrite)
        return true;
    if (!flush()) {
        // A socket error: onClose is not called from here. At the socket's next event the loop calls flush() again or reads, which
        // fails in turn and closes the stream.
        m_isWaitingToWrite = true;
        watchSocket();
        return true;
    }
    if (!m_unsent.empty()) {
        m_isWaitingToWrite = true;
        watchSocket();
    }
    return true;
}

void TcpStream::close()
{
    if (!m_isOpen)
        return;
    if (!m_unsent.empty() && !m_isWaitingToWrite)
        flush();
    m_isOpen = false;
    m_loop.unwatch(m_socket.impl()->sockfd());
    m_socket.close();
}

void TcpStream::watchSocket()
{
    const Readiness input = m_isReceiving ? Readiness::Read : Readiness::None;
    const Readiness interest = m_isWaitingToWrite ? input | Readiness::Write : input;
    m_loop.watch(m_socket.impl()->sockfd(), interest, [weak = weak_from_this()](Readiness ready) {
        if (auto self = weak.lock())
            self->handleEvents(ready);
    });
}

void TcpStream::handleEvents(Readiness ready)
{
    if (has(ready, Readiness::Write)) {
        if (!flush())
            return closeAndNotify();
        if (m_unsent.empty()) {
            m_isWaitingToWrite = false;
            watchSocket();
        }
    }
    if (!m_isReceiving && has(ready, Readiness::Failure))
        return closeAndNotify();
    if (m_isReceiving && (has(ready, Readiness::Read) || has(ready, Readiness::Failure)) && !receive())
        closeAndNotify();
}

bool TcpStream::receive()
{
    std::array<char, chunkBytes> chunk {};
    bool isEnded = false;
    while (true) {
        const ssize_t n = recv(m_socket.impl()->sockfd(), chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (n > 0)
            m_input.append(chunk.data(), static_cast<size_t>(n));
        isEnded = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
        // A short read has emptied the socket; stopping here saves a recv() that would return EAGAIN.
        if (n < static_cast<ssize_t>(chunk.size()) || m_input.size() > maxInputBytes)
            break;
    }
    if (!m_input.empty() && m_onReceive) {
        std::string input;
        input.swap(m_input);
        const size_t used = m_onReceive(input);
        if (!m_isOpen)
            return true;
        input.erase(0, used);
        m_input.swap(input);
    }
    return !isEnded && m_input.size() <= maxInputBytes;
}

bool TcpStream::flush()
{
    while (m_sent < m_unsent.size()) {
        const ssize_t n = ::send(m_socket.impl()->sockfd(), m_unsent.data() + m_sent, m_unsent.size() - m_sent, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0)
            return errno == EAGAIN || errno == EINTR;
        m_sent += static_cast<size_t>(n);
    }
    m_unsent.clear();
    m_sent = 0;
    return true;
}

void TcpStream::closeAndNotify()
{
    auto self = shared_from_this();
    CloseCallback onClose = std::move(m_onClose);
    close();
    if (onClose)
        onClose();
}

}
