#pragma once

#include "net/TcpStream.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>

namespace parsleypaddle {

/// Accepts TCP connections on the loop.
class TcpListener {
public:
    using AcceptCallback = std::function<void(std::shared_ptr<TcpStream>)>;

    /// Calls the callback on the loop's thread for each accepted connection. Returns an error if the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<TcpListener>> create(PollLoop&, const std::string& host, uint16_t port, AcceptCallback);
    ~TcpListener();

    /// Accepts the connections that wait. To be called before the listener is destroyed, since the kernel resets those that are left.
    void acceptWaiting();

private:
    TcpListener(PollLoop&, const Poco::Net::ServerSocket&, AcceptCallback);

    /// False if none was accepted.
    bool acceptNext();

    PollLoop& m_loop;
    Poco::Net::ServerSocket m_socket;
    AcceptCallback m_onAccept;
};

}
