#pragma once

#include "base/EventLoop.h"

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace parsleypaddle {

/// The name and value of a field in a log line.
using LogField = std::pair<const char*, std::string>;

/// Logs each decision as one line of JSON. Lines beyond the rate limit are dropped and counted, so that a high rate of
/// decisions does not slow the loop down. A sink that blocks also blocks the loop.
class DecisionLog {
public:
    using Sink = std::function<void(const std::string& line)>;

    /// Writes to log4cxx's logger "decisions", or to `sink` if one is given.
    DecisionLog(const EventLoop&, std::string instance, Sink sink = nullptr);

    /// Writes a line unless the rate limit is exceeded. `event` is the kind of decision; `fields` hold the values behind it.
    void write(std::string_view event, std::initializer_list<LogField> fields);

    /// Writes a line even if the rate limit is exceeded. For events whose number does not grow with the load, such as changes of a primary:
    /// they come with a burst of refused statements.
    void writeUnlimited(std::string_view event, std::initializer_list<LogField> fields);

    /// The number of lines dropped so far.
    uint64_t dropped() const { return m_dropped; }

private:
    /// Returns whether the rate limit permits a line now, and counts it against the limit if so.
    bool consumeAllowance();

    const EventLoop& m_loop;
    std::string m_instance;
    Sink m_sink;
    double m_allowance;
    Instant m_refilledAt;
    uint64_t m_dropped { 0 };
    uint64_t m_reportedDropped { 0 };
};

}
