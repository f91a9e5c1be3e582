#pragma once

#include "distribution/PeerChannel.h"
#include "net/TcpListener.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>

namespace parsleypaddle {

/// Opens channels over TCP.
class TcpPeerConnector final : public PeerConnector {
public:
    explicit TcpPeerConnector(PollLoop& loop)
        : m_loop(loop)
    {
    }

    std::shared_ptr<PeerChannel> connect(const PeerEndpoint&, PeerChannelCallbacks) override;

private:
    PollLoop& m_loop;
};

/// Accepts channels over TCP.
class TcpPeerListener {
public:
    /// Called for each accepted channel; returns the callbacks for it.
    using Accept = std::function<PeerChannelCallbacks(std::shared_ptr<PeerChannel>)>;

    /// Returns an error if the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<TcpPeerListener>> create(PollLoop&, const std::string& host, uint16_t port, Accept);

private:
    TcpPeerListener() = default;

    std::unique_ptr<TcpListener> m_listener;
};

}
