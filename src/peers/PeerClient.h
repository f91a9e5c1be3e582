#pragma once

#include "homes/HomeCall.h"
#include "net/PollLoop.h"
#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>
#include <vector>

namespace parsleypaddle {

/// How a daemon calls its peers.
struct PeerClientSettings {
    /// Shown to peers with each call.
    std::string key;
    /// Calls under way to one peer at a time; further ones wait for a connection.
    unsigned connectionsPerPeer { 256 };
    Milliseconds connectTimeout { 500 };
    /// Sent bytes that the peer's host leaves unconfirmed for so long end the call.
    Milliseconds unconfirmedTimeout { 1500 };
    /// Threads that encode and decode large messages.
    unsigned workerThreads { 2 };
};

/// Calls homes on other daemons over kept-alive HTTP connections, on the loop's thread.
class PeerClient final : public HomePort {
public:
    static absl::StatusOr<std::unique_ptr<PeerClient>> create(PollLoop&, PeerClientSettings);

    /// Drops calls under way without answering them.
    ~PeerClient() override;

    /// The instances that can be called from now on.
    void setPeers(const std::vector<InstanceEntry>&);

    /// Refusals of the peer's gateway come as the answer's code. Codes of its own: DeadlinePassed and PeerUnreachable (the
    /// call was not delivered), PeerSilent (it may have been).
    void call(const InstanceId&, const HomeCall&, Done) override;

    /// Calls that have not been answered.
    size_t callsInFlight() const;

private:
    PeerClient();

    class Internals;
    std::unique_ptr<Internals> m_internals;
};

}
