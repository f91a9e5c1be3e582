#pragma once

#include "base/EventLoop.h"

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace parsleypaddle {

/// A named value of a log line.
using LogField = std::pair<const char*, std::string>;

/// Writes one JSON line for each decision to standard output. Lines beyond the limit are dropped and counted, so that
/// neither their number nor a slow reader holds up the loop.
class DecisionLog {
public:
    using Sink = std::function<void(const std::string& line)>;

    /// Writes to log4cxx's logger "decisions", or to `sink`.
    DecisionLog(const EventLoop&, std::string instance, Sink sink = nullptr);

    /// `event` names the decision; the fields hold what decided it.
    void write(std::string_view event, std::initializer_list<LogField> fields);

    /// Lines dropped so far.
    uint64_t dropped() const { return m_dropped; }

private:
    bool mayWrite();

    const EventLoop& m_loop;
    std::string m_instance;
    Sink m_sink;
    double m_allowance;
    Instant m_refilledAt;
    uint64_t m_dropped { 0 };
    uint64_t m_droppedTold { 0 };
};

}
