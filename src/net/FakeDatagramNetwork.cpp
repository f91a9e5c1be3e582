#include "net/FakeDatagramNetwork.h"

namespace parsleypaddle {

class FakeDatagramNetwork::Port final : public DatagramPort {
public:
    Port(FakeDatagramNetwork& network, std::string host)
        : m_network(network)
        , m_host(std::move(host))
    {
        m_network.m_ports[m_host] = this;
    }

    ~Port() override
    {
        auto it = m_network.m_ports.find(m_host);
        if (it != m_network.m_ports.end() && it->second == this)
            m_network.m_ports.erase(it);
    }

    Port(const Port&) = delete;
    Port& operator=(const Port&) = delete;

    void send(const TargetAddress& to, std::string_view payload) override { m_network.transmit(m_host, to.host, std::string(payload)); }
    void setReceiver(std::string_view protocol, Receiver receiver) override { m_receivers.set(protocol, std::move(receiver)); }
    void deliver(const std::string& from, std::string_view payload) const { m_receivers.dispatch({ from, 0 }, payload); }

private:
    FakeDatagramNetwork& m_network;
    std::string m_host;
    DatagramReceivers m_receivers;
};

std::unique_ptr<DatagramPort> FakeDatagramNetwork::open(const std::string& host)
{
    return std::make_unique<Port>(*this, host);
}

void FakeDatagramNetwork::transmit(const std::string& from, const std::string& to, std::string payload)
{
    ++datagrams;
    bytes += payload.size();
    std::uniform_real_distribution<double> uniform(0, 1);
    if (uniform(m_random) < loss)
        return;
    m_loop.after(delay + jitter * uniform(m_random), [this, from, to, payload = std::move(payload)] {
        auto it = m_ports.find(to);
        if (it != m_ports.end() && !isCut(from, to))
            it->second->deliver(from, payload);
    });
}

}
