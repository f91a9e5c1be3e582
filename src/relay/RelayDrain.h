#pragma once

#include "base/EventLoop.h"
#include "relay/Relay.h"

#include <functional>

namespace parsleypaddle {

/// Empties a relay before its daemon stops: sessions are closed between two statements, a few at a time, so that their
/// callers do not all come back to the other daemons at once.
class RelayDrain {
public:
    /// `grace`: from the order to stop until the process is killed.
    RelayDrain(EventLoop&, Relay&, Milliseconds grace);

    bool isDraining() const { return m_isDraining; }

    /// Calls `done` once no session is left, or when time is short.
    void start(std::function<void()> done);

private:
    void step();
    void finish();

    EventLoop& m_loop;
    Relay& m_relay;
    Milliseconds m_grace;
    bool m_isDraining { false };
    Instant m_startedAt;
    std::function<void()> m_done;
};

}
