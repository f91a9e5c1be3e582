#pragma once

#include "homes/HomeCall.h"
#include "net/PollLoop.h"
#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>
#include <vector>

namespace parsleypaddle {

/// Settings of the HTTP client that calls peer daemons.
struct PeerClientSettings {
    /// The secret sent in the key header of each call; a peer rejects calls whose key it does not accept.
    std::string key;
    /// Limit on connections to one peer; each carries one call at a time, and further calls wait for a free one.
    unsigned connectionsPerPeer { 256 };
    Milliseconds connectTimeout { 500 };
    /// A call fails when data sent on its connection stays unacknowledged by the peer's host for this long.
    Milliseconds tcpUserTimeout { 1500 };
    /// Threads that encode and decode large messages.
    unsigned workerThreads { 2 };
};

/// Calls homes, the daemons that run statements at targets, over kept-alive HTTP connections. Used on the loop's thread only.
class PeerClient final : public HomeClient {
public:
    static absl::StatusOr<std::unique_ptr<PeerClient>> create(PollLoop&, PeerClientSettings);

    /// Drops pending calls without invoking their callbacks.
    ~PeerClient() override;

    /// Replaces the list of instances that can be called. Transfers in progress continue.
    void setPeers(const std::vector<InstanceEntry>&);

    /// When the peer's gateway rejects the call, the answer carries the gateway's result code. The client itself answers
    /// with DeadlinePassed or PeerUnreachable (the call was not delivered) or PeerSilent (it may have been).
    void call(const InstanceId&, const HomeCall&, Done) override;

    /// Number of HTTP transfers that have not ended, including those that wait for a free connection. Calls being encoded
    /// and replies being decoded by a worker thread are not counted.
    size_t transfersInFlight() const;

private:
    PeerClient();

    class Internals;
    std::unique_ptr<Internals> m_internals;
};

}
