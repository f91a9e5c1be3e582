#pragma once

#include "leases/LeaseRow.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace parsleypaddle {

/// A connection between two daemons that carries lines of text.
class PeerChannel {
public:
    virtual ~PeerChannel() = default;

    /// Sends a line. `line` holds no line break.
    virtual void send(const std::string& line) = 0;
    /// Closes the connection. No callback follows.
    virtual void close() = 0;
};

/// What the user of a channel is called for.
struct PeerChannelCallbacks {
    std::function<void(std::string_view line)> onLine;
    /// The peer has closed the connection, it has failed, or a line was too long.
    std::function<void()> onClose;
    /// Bytes have arrived. They may be a part of a line, which takes seconds to arrive over a slow link if it holds a table.
    std::function<void()> onReceived {};
};

/// Opens channels to other daemons.
class PeerConnector {
public:
    virtual ~PeerConnector() = default;

    /// Starts to connect to the daemon's source port. Lines sent before the connection is open are kept. Returns null if the
    /// attempt fails at once.
    virtual std::shared_ptr<PeerChannel> connect(const PeerEndpoint&, PeerChannelCallbacks) = 0;
};

}
