#include "distribution/TcpPeerChannel.h"

namespace parsleypaddle {

namespace {

    /// Longer lines close the channel. The longest one holds a table; the platform limits a row to 64 KiB and an answer to 1 MB.
    constexpr size_t maxLineBytes = 2'000'000;

    /// A TCP connection whose input is split into lines. The stream's own limit bounds the output that is not sent yet.
    class TcpPeerChannel final : public PeerChannel, public std::enable_shared_from_this<TcpPeerChannel> {
    public:
        explicit TcpPeerChannel(std::shared_ptr<TcpStream> stream)
            : m_stream(std::move(stream))
        {
        }

        ~TcpPeerChannel() override { m_stream->close(); }

        void start(PeerChannelCallbacks callbacks)
        {
            // It may have been rejected.
            if (m_isClosed)
                return;
            m_callbacks = std::move(callbacks);
            auto weak = weak_from_this();
            m_stream->startReceiving(
                [weak](std::string_view input) {
                    auto self = weak.lock();
                    return self ? self->splitLines(input) : input.size();
                },
                [weak] {
                    if (auto self = weak.lock())
                        self->disconnect();
                });
        }

        void send(const std::string& line) override { m_stream->send(line + "\n"); }

        void close() override
        {
            m_isClosed = true;
            m_stream->close();
        }

    private:
        size_t splitLines(std::string_view input)
        {
            auto self = shared_from_this();
            if (m_callbacks.onReceived)
                m_callbacks.onReceived();
            size_t begin = 0;
            for (size_t end = input.find('\n'); end != std::string_view::npos && !m_isClosed; end = input.find('\n', begin)) {
                if (end - begin > maxLineBytes)
                    break;
                m_callbacks.onLine(input.substr(begin, end - begin));
                begin = end + 1;
            }
            if (!m_isClosed && input.size() - begin > maxLineBytes)
                disconnect();
            return m_isClosed ? input.size() : begin;
        }

        void disconnect()
        {
            if (m_isClosed)
                return;
            close();
            m_callbacks.onClose();
        }

        std::shared_ptr<TcpStream> m_stream;
        PeerChannelCallbacks m_callbacks;
        bool m_isClosed { false };
    };

}

std::shared_ptr<PeerChannel> TcpPeerConnector::connect(const PeerEndpoint& peer, PeerChannelCallbacks callbacks)
{
    auto stream = TcpStream::connect(m_loop, peer.host, peer.sourcePort);
    if (!stream.ok())
        return nullptr;
    auto channel = std::make_shared<TcpPeerChannel>(*std::move(stream));
    channel->start(std::move(callbacks));
    return channel;
}

absl::StatusOr<std::unique_ptr<TcpPeerListener>> TcpPeerListener::create(PollLoop& loop, const std::string& host, uint16_t port, Accept accept)
{
    std::unique_ptr<TcpPeerListener> result(new TcpPeerListener);
    auto listener = TcpListener::create(loop, host, port, [accept = std::move(accept)](std::shared_ptr<TcpStream> stream) {
        auto channel = std::make_shared<TcpPeerChannel>(std::move(stream));
        channel->start(accept(channel));
    });
    if (!listener.ok())
        return listener.status();
    result->m_listener = *std::move(listener);
    return result;
}

}
