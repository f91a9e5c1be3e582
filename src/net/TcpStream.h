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

/// A non-blocking TCP connection on the loop. Bytes that the socket does not yet accept are buffered.
/// The callbacks may destroy the stream.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
public:
    /// Called with all bytes that were received and not yet consumed; returns how many of them it consumed.
    using ReceiveCallback = std::function<size_t(std::string_view)>;
    using CloseCallback = std::function<void()>;

    /// Starts to connect. Bytes sent before the connection is open are buffered. Returns an error if the address is invalid
    /// or the connection attempt fails at once.
    static absl::StatusOr<std::shared_ptr<TcpStream>> connect(PollLoop&, const std::string& host, uint16_t port);
    /// Creates a stream for an accepted connection.
    static std::shared_ptr<TcpStream> adopt(PollLoop&, const Poco::Net::StreamSocket&);
    ~TcpStream();

    /// Registers the callbacks and starts to receive. Both are called on the loop's thread. `onClose` is called at most once:
    /// when the peer closes, on an error, when the connection cannot be opened, when send() finds too many unsent bytes, or when more
    /// than 2 MiB of input stay unconsumed.
    void startReceiving(ReceiveCallback onReceive, CloseCallback onClose);

    /// Leaves further input in the socket. `onClose` is still called on errors, but not when the peer closes.
    void stopReceiving();

    /// Sends or buffers the bytes. Returns false if the stream is closed, or if more than 4 MiB of earlier ones are unsent; it then
    /// closes the stream and calls `onClose`.
    bool send(std::string_view);

    /// Closes at once and discards the bytes that are still buffered. No callback follows.
    void close();

    size_t unsent() const { return m_unsent.size() - m_sent; }

private:
    TcpStream(PollLoop&, const Poco::Net::StreamSocket&);

    void handleEvents(Readiness);
    bool receive();
    bool flush();
    void watchSocket();
    void closeAndNotify();

    PollLoop& m_loop;
    Poco::Net::StreamSocket m_socket;
    ReceiveCallback m_onReceive;
    CloseCallback m_onClose;
    std::string m_input;
    std::string m_unsent;
    /// Bytes at the beginning of m_unsent that were sent.
    size_t m_sent { 0 };
    bool m_isOpen { true };
    bool m_isReceiving { true };
    bool m_isWaitingToWrite { false };
};

}
