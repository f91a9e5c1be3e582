#pragma once

#include "base/VirtualLoop.h"
#include "net/DatagramReceivers.h"

#include <memory>
#include <random>
#include <set>

namespace parsleypaddle {

/// Delivers datagrams between ports of a test on virtual time, by host name.
class FakeDatagramNetwork {
public:
    class Port;

    explicit FakeDatagramNetwork(VirtualLoop& loop, uint64_t seed = 1)
        : m_loop(loop)
        , m_random(seed)
    {
    }

    /// Opens the port of a host. A port that is destroyed receives nothing any more.
    std::unique_ptr<DatagramPort> open(const std::string& host);

    /// Separates two hosts, in both directions.
    void cut(const std::string& a, const std::string& b) { m_cuts.insert({ a, b }); }
    void healAll() { m_cuts.clear(); }

    Milliseconds delay { 1 };
    /// Random extra delay of each datagram, up to this.
    Milliseconds jitter;
    /// Probability that a datagram is lost.
    double loss { 0 };
    /// Datagrams and bytes sent so far.
    uint64_t datagrams { 0 };
    uint64_t bytes { 0 };

private:
    void transmit(const std::string& from, const std::string& to, std::string payload);
    bool isCut(const std::string& a, const std::string& b) const { return m_cuts.count({ a, b }) > 0 || m_cuts.count({ b, a }) > 0; }

    VirtualLoop& m_loop;
    std::mt19937_64 m_random;
    std::map<std::string, Port*> m_ports;
    std::set<std::pair<std::string, std::string>> m_cuts;
};

}
