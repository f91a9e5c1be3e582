#include "net/UdpPort.h"

#include <Poco/Exception.h>
#include <array>

namespace parsleypaddle {

namespace {

    /// Datagrams that are read before the loop turns to other descriptors.
    constexpr int maxDatagramsPerTurn = 32;

}

absl::StatusOr<std::unique_ptr<UdpPort>> UdpPort::create(PollLoop& loop, const std::string& host, uint16_t port)
{
    try {
        Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress(host, port), true);
        socket.setBlocking(false);
        return std::unique_ptr<UdpPort>(new UdpPort(loop, socket));
    } catch (const Poco::Exception& ec) {
        return absl::UnavailableError("cannot bind UDP port " + host + ":" + std::to_string(port) + ": " + ec.displayText());
    }
}

UdpPort::UdpPort(PollLoop& loop, const Poco::Net::DatagramSocket& socket)
    : m_loop(loop)
    , m_socket(socket)
{
    m_loop.watch(m_socket.impl()->sockfd(), Readiness::Read, [this](Readiness) { receive(); });
}

UdpPort::~UdpPort()
{
    m_loop.unwatch(m_socket.impl()->sockfd());
}

void UdpPort::send(const TargetAddress& to, std::string_view payload)
{
    try {
        m_socket.sendTo(payload.data(), static_cast<int>(payload.size()), Poco::Net::SocketAddress(to.host, to.port));
    } catch (const Poco::Exception&) {
        // A datagram that cannot be sent is as good as lost, which its users expect.
        return;
    }
}

void UdpPort::receive()
{
    std::array<char, 2 * maxPayloadBytes> buf;
    for (int n = 0; n < maxDatagramsPerTurn; ++n) {
        try {
            Poco::Net::SocketAddress from;
            const int size = m_socket.receiveFrom(buf.data(), static_cast<int>(buf.size()), from);
            if (size <= 0)
                return;
            m_receivers.dispatch({ from.host().toString(), from.port() }, std::string_view(buf.data(), static_cast<size_t>(size)));
        } catch (const Poco::Exception&) {
            // No further datagram is waiting, or the port that an earlier one was sent to is closed.
            return;
        }
    }
}

}
