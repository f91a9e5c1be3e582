#pragma once

#include "net/TcpListener.h"

#include <memory>
#include <set>

namespace parsleypaddle {

/// Passes connections on to one address, byte by byte: the way to the platform for daemons that it refuses.
class StreamPipe {
public:
    /// Error: an address that cannot be bound.
    static absl::StatusOr<std::unique_ptr<StreamPipe>> create(PollLoop&, const std::string& host, uint16_t port, std::string targetHost, uint16_t targetPort);

private:
    struct Pair;

    StreamPipe(PollLoop&, std::string targetHost, uint16_t targetPort);

    void accepted(std::shared_ptr<TcpStream>);

    PollLoop& m_loop;
    std::string m_targetHost;
    uint16_t m_targetPort;
    std::set<std::shared_ptr<Pair>> m_pairs;
    std::unique_ptr<TcpListener> m_listener;
};

}
