#pragma once

#include "net/PollLoop.h"

#include <string>
#include <vector>

namespace parsleypaddle {

/// How long clients run before and while their statements count.
struct LoadTimes {
    Milliseconds warmUp { 500 };
    Milliseconds measured { 3000 };
};

/// Measures what the clients of one loop do, and stops the loop at the end.
class LoadMeter {
public:
    LoadMeter(PollLoop&, const LoadTimes&);

    bool isOver() const { return m_loop.now() >= m_end; }
    Instant now() const { return m_loop.now(); }

    /// A statement that began at `start` was answered.
    void recordDone(Instant start);
    void recordFailure(const std::string& reason);

    const std::vector<double>& latencies() const { return m_latencies; }
    uint64_t failures() const { return m_failures; }
    const std::string& lastFailure() const { return m_lastFailure; }

private:
    PollLoop& m_loop;
    Instant m_start;
    Instant m_end;
    std::vector<double> m_latencies;
    uint64_t m_failures { 0 };
    std::string m_lastFailure;
};

}
