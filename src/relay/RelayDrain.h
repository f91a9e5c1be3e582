#pragma once

#include "base/EventLoop.h"
#include "relay/Relay.h"

#include <functional>

namespace parsleypaddle {

/// What ends a daemon once its relay is empty, in the order of its use.
struct DrainSteps {
    /// From then on nothing is taken in.
    std::function<void()> stopListening;
    /// Gives the lease back and calls what it is given, also when the platform does not answer.
    std::function<void(std::function<void()>)> releaseLease;
    std::function<void()> stopped;
};

/// Empties a relay before its daemon stops: sessions are closed between two statements, a few at a time, so that their
/// callers do not all come back to the other daemons at once.
class RelayDrain {
public:
    /// `grace`: from the order to stop until the process is killed.
    RelayDrain(EventLoop&, Relay&, Milliseconds grace);

    bool isDraining() const { return m_isDraining; }

    /// Takes the steps once no session is left, or when time is short.
    void start(DrainSteps);

private:
    void step();
    void finish();

    EventLoop& m_loop;
    Relay& m_relay;
    Milliseconds m_grace;
    bool m_isDraining { false };
    Instant m_startedAt;
    DrainSteps m_steps;
};

}
