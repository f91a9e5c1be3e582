#pragma once

#include "base/EventLoop.h"
#include "distribution/SharedRows.h"
#include "telemetry/DecisionLog.h"

namespace parsleypaddle {

/// Logs when nothing has confirmed this daemon's configuration for longer than a change may take to be in force, and when it is confirmed
/// again.
class ConfirmationMonitor {
public:
    /// `bound`: within which a change of the configuration is promised to be in force.
    ConfirmationMonitor(EventLoop&, const SharedRows&, DecisionLog&, Milliseconds bound);
    ~ConfirmationMonitor();

    void start();

private:
    void check();

    EventLoop& m_loop;
    const SharedRows& m_rows;
    DecisionLog& m_log;
    Milliseconds m_bound;
    bool m_isOverdue { false };
    TimerId m_timer { TimerId::None };
};

}
