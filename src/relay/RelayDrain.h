#pragma once

#include "base/EventLoop.h"
#include "relay/Relay.h"

#include <functional>

namespace parsleypaddle {

/// Callbacks that RelayDrain runs at the end of a drain, in this order.
struct DrainCallbacks {
    /// Stops accepting connections. Open sessions still receive the answers to their statements.
    std::function<void()> stopListening;
    /// Called when no session is left. Closes the remaining connections, releases the lease and then calls the given function, also
    /// when the platform does not answer.
    std::function<void(std::function<void()>)> releaseLease;
    /// Called after `releaseLease` has finished.
    std::function<void()> onStopped;
};

/// Closes a relay's sessions before its daemon stops. They are closed a few at a time, so that their callers do not all reconnect to the
/// other daemons at once.
class RelayDrain {
public:
    /// `grace`: time from the stop signal until the process is killed.
    RelayDrain(EventLoop&, Relay&, Milliseconds grace);

    bool isDraining() const { return m_isDraining; }

    /// Starts the drain. Once the load balancer has stopped sending new connections, sessions are closed a few at a time: a caller's at the
    /// end of its operation, a peer daemon's when it is found idle. Stops listening once no session is left, or when most of the grace
    /// period has passed; sessions with a running statement are then closed when it is answered.
    void startDraining(DrainCallbacks);

private:
    void closeNextSessions();
    void closeSessions(const std::vector<std::shared_ptr<CallerSession>>&, Milliseconds passed);
    void stopListening();
    void closeAnsweredSessions();
    void finish();

    EventLoop& m_loop;
    Relay& m_relay;
    Milliseconds m_grace;
    bool m_isDraining { false };
    Instant m_startedAt;
    DrainCallbacks m_steps;
};

}
