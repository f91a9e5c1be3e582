#pragma once

#include "net/TcpListener.h"

#include <memory>
#include <set>

namespace parsleypaddle {

/// A TCP proxy that forwards connections to one remote address. Other daemons reach the platform through it while their own
/// connections to the platform are refused or fail.
class TcpForwarder {
public:
    /// Returns an error if the address to listen on cannot be bound.
    static absl::StatusOr<std::unique_ptr<TcpForwarder>> create(PollLoop&, const std::string& host, uint16_t port, std::string remoteHost, uint16_t remotePort);

private:
    struct Pair;

    TcpForwarder(PollLoop&, std::string remoteHost, uint16_t remotePort);

    void addPair(std::shared_ptr<TcpStream>);

    PollLoop& m_loop;
    std::string m_remoteHost;
    uint16_t m_remotePort;
    std::set<std::shared_ptr<Pair>> m_pairs;
    std::unique_ptr<TcpListener> m_listener;
};

}
