#pragma once

#include "base/EventLoop.h"
#include "platform_ports/PlatformPorts.h"

#include <functional>
#include <map>
#include <memory>

namespace parsleypaddle {

/// Follows one table of the platform: reads it once, then watches it, and starts anew when the history is lost.
class RowWatch {
public:
    using Rows = std::map<std::string, StoredRow>;
    /// All rows by key, after each change.
    using Changed = std::function<void(const Rows&)>;
    /// The platform was lost, with the reason, or is reached again (ok).
    using Reached = std::function<void(const absl::Status&)>;

    RowWatch(EventLoop&, PlatformRows&, std::string table, Milliseconds wait, Changed, Reached);

    void start();

    /// After a change it waits so long before it asks for the next ones, which then come together; none at first.
    void setPause(Milliseconds pause) { m_pause = pause; }

    /// Asks anew, unless it asked at or after `asked`: the platform has just answered a call of that moment after it was away,
    /// and a watch from before may hang until its wait is over.
    void renew(Instant asked);

    /// Whether the table was read at least once.
    bool isKnown() const { return m_isKnown; }

private:
    void ask();
    void readAll();
    void watch();
    void askAfter(Milliseconds pause);
    void answered(const absl::Status&);
    void take(const StoredRow&);

    EventLoop& m_loop;
    PlatformRows& m_platform;
    std::string m_table;
    Milliseconds m_wait;
    Milliseconds m_pause;
    Changed m_changed;
    Reached m_reached;
    Rows m_rows;
    RowVersion m_version;
    bool m_isKnown { false };
    /// Whether the platform still tells what changed since the last reading.
    bool m_isCurrent { false };
    bool m_isLost { false };
    /// When it asked last; lives as long as that question is the one whose answer counts.
    std::shared_ptr<Instant> m_asked;
};

}
