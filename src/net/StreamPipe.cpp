#include "net/StreamPipe.h"

namespace parsleypaddle {

namespace {

    /// Each refused daemon holds a handful of connections; more than some dozens would be a fault elsewhere.
    constexpr size_t mostPairs = 128;

}

/// Two connections, each the other's continuation. Ends with either.
struct StreamPipe::Pair : std::enable_shared_from_this<Pair> {
    std::shared_ptr<TcpStream> near;
    std::shared_ptr<TcpStream> far;

    static void join(const std::shared_ptr<Pair>& pair, TcpStream& from, TcpStream& to, std::set<std::shared_ptr<Pair>>& pairs)
    {
        std::weak_ptr<Pair> weak = pair;
        from.start(
            [&to, weak](std::string_view bytes) {
                if (auto self = weak.lock())
                    to.send(bytes);
                return bytes.size();
            },
            [weak, &pairs] {
                auto self = weak.lock();
                if (!self)
                    return;
                self->near->close();
                self->far->close();
                pairs.erase(self);
            });
    }
};

absl::StatusOr<std::unique_ptr<StreamPipe>> StreamPipe::create(PollLoop& loop, const std::string& host, uint16_t port, std::string targetHost, uint16_t targetPort)
{
    std::unique_ptr<StreamPipe> pipe(new StreamPipe(loop, std::move(targetHost), targetPort));
    auto listener = TcpListener::create(loop, host, port, [it = pipe.get()](std::shared_ptr<TcpStream> stream) { it->accepted(std::move(stream)); });
    if (!listener.ok())
        return listener.status();
    pipe->m_listener = *std::move(listener);
    return pipe;
}

StreamPipe::StreamPipe(PollLoop& loop, std::string targetHost, uint16_t targetPort)
    : m_loop(loop)
    , m_targetHost(std::move(targetHost))
    , m_targetPort(targetPort)
{
}

void StreamPipe::accepted(std::shared_ptr<TcpStream> stream)
{
    if (m_pairs.size() >= mostPairs)
        return;
    auto far = TcpStream::connect(m_loop, m_targetHost, m_targetPort);
    // The caller sees its connection closed, as it would see a refusal of the platform.
    if (!far.ok())
        return;
    auto pair = std::make_shared<Pair>();
    pair->near = std::move(stream);
    pair->far = *std::move(far);
    m_pairs.insert(pair);
    Pair::join(pair, *pair->near, *pair->far, m_pairs);
    Pair::join(pair, *pair->far, *pair->near, m_pairs);
}

}
