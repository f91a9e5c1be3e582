#pragma once

#include "base/Time.h"
#include "net/PollLoop.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace parsleypaddle {

/// A TCP connection on the loop: it never blocks, and buffers what the other end is slow to take.
/// The callbacks may destroy the stream.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
public:
    /// Called with all bytes received so far; returns how many it has used up.
    using Received = std::function<size_t(std::string_view)>;
    using Closed = std::function<void()>;

    /// Starts to connect; bytes sent before it is open are kept. Error: an address that cannot be used.
    static absl::StatusOr<std::shared_ptr<TcpStream>> connect(PollLoop&, const std::string& host, uint16_t port);
    /// Takes over an accepted connection.
    static std::shared_ptr<TcpStream> adopt(PollLoop&, const Poco::Net::StreamSocket&);
    ~TcpStream();

    /// Both are called from the loop; `closed` once, also when the connection could not be opened.
    void start(Received received, Closed closed);

    /// False when too much waits for the other end already; the stream is then closed.
    bool send(std::string_view);

    /// Sends what is buffered, as far as the other end takes it at once, and closes. No callback follows.
    void close();

    size_t unsent() const { return m_unsent.size(); }

private:
    TcpStream(PollLoop&, const Poco::Net::StreamSocket&);

    void ready(Readiness);
    bool receive();
    bool flush();
    void watch();
    void fail();

    PollLoop& m_loop;
    Poco::Net::StreamSocket m_socket;
    Received m_received;
    Closed m_closed;
    std::string m_input;
    std::string m_unsent;
    bool m_isOpen { true };
    bool m_waitsToWrite { false };
};

}
