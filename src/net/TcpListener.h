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

private:
    TcpListener(PollLoop&, const Poco::Net::ServerSocket&, AcceptCallback);

    void acceptNext();

    PollLoop& m_loop;
    Poco::Net::ServerSocket m_socket;
    AcceptCallback m_onAccept;
};

}
