#include "net/TcpForwarder.h"

namespace parsleypaddle {

namespace {

    /// Connections beyond this number are closed at once. Each daemon that uses this proxy opens only a handful; more than some
    /// dozens indicate a fault elsewhere.
    constexpr size_t maxPairs = 128;

}

/// An accepted connection and the outbound connection to the remote address. Bytes are forwarded in both directions, and
/// when one of the connections closes, the other is closed too.
struct TcpForwarder::Pair : std::enable_shared_from_this<Pair> {
    std::shared_ptr<TcpStream> inbound;
    std::shared_ptr<TcpStream> outbound;

    static void forward(const std::shared_ptr<Pair>& pair, TcpStream& from, TcpStream& to, std::set<std::shared_ptr<Pair>>& pairs)
    {
        std::weak_ptr<Pair> weak = pair;
        from.startReceiving(
            [&to, weak](std::string_view bytes) {
                if (auto self = weak.lock())
                    to.send(bytes);
                return bytes.size();
            },
            [weak, &pairs] {
                auto self = weak.lock();
                if (!self)
                    return;
                self->inbound->close();
                self->outbound->close();
                pairs.erase(self);
            });
    }
};

absl::StatusOr<std::unique_ptr<TcpForwarder>> TcpForwarder::create(PollLoop& loop, const std::string& host, uint16_t port, std::string remoteHost, uint16_t remotePort)
{
    std::unique_ptr<TcpForwarder> pipe(new TcpForwarder(loop, std::move(remoteHost), remotePort));
    auto listener = TcpListener::create(loop, host, port, [it = pipe.get()](std::shared_ptr<TcpStream> stream) { it->addPair(std::move(stream)); });
    if (!listener.ok())
        return listener.status();
    pipe->m_listener = *std::move(listener);
    return pipe;
}

TcpForwarder::TcpForwarder(PollLoop& loop, std::string remoteHost, uint16_t remotePort)
    : m_loop(loop)
    , m_remoteHost(std::move(remoteHost))
    , m_remotePort(remotePort)
{
}

void TcpForwarder::addPair(std::shared_ptr<TcpStream> stream)
{
    if (m_pairs.size() >= maxPairs)
        return;
    auto outbound = TcpStream::connect(m_loop, m_remoteHost, m_remotePort);
    // Destroying `stream` closes the accepted connection, here as above: the client's connection opens and closes at once.
    if (!outbound.ok())
        return;
    auto pair = std::make_shared<Pair>();
    pair->inbound = std::move(stream);
    pair->outbound = *std::move(outbound);
    m_pairs.insert(pair);
    Pair::forward(pair, *pair->inbound, *pair->outbound, m_pairs);
    Pair::forward(pair, *pair->outbound, *pair->inbound, m_pairs);
}

}
