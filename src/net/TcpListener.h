#pragma once

#include "net/TcpStream.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>

namespace parsleypaddle {

/// Accepts TCP connections on the loop.
class TcpListener {
public:
    using Accepted = std::function<void(std::shared_ptr<TcpStream>)>;

    /// Error: an address that cannot be bound.
    static absl::StatusOr<std::unique_ptr<TcpListener>> create(PollLoop&, const std::string& host, uint16_t port, Accepted);
    ~TcpListener();

private:
    TcpListener(PollLoop&, const Poco::Net::ServerSocket&, Accepted);

    void accept();

    PollLoop& m_loop;
    Poco::Net::ServerSocket m_socket;
    Accepted m_accepted;
};

}
