#pragma once

#include "base/EventLoop.h"

#include <map>
#include <utility>

namespace parsleypaddle {

/// An event loop on simulated time, which only its caller advances, so that test runs do not depend on real time.
class VirtualLoop final : public EventLoop {
public:
    explicit VirtualLoop(Instant start = Instant(1'700'000'000'000.0));

    Instant now() const override { return m_now; }
    TimerId after(Milliseconds delay, std::function<void()> task) override;
    void cancel(TimerId) override;

    /// Runs every task that is due within `span`, then sets the time to the end of `span`.
    void advance(Milliseconds span);

    /// Runs tasks until `isDone` returns true or no task is left within `limit`; in the latter
    /// case it sets the time to the end of `limit`. Returns the last result of `isDone`.
    bool runUntil(const std::function<bool()>& isDone, Milliseconds limit);

private:
    using Key = std::pair<double, uint64_t>;

    /// Runs the earliest task if it is due by `limit`. Returns whether a task ran.
    bool runNext(Instant limit);

    Instant m_now;
    uint64_t m_lastTimer { 0 };
    std::map<Key, std::function<void()>> m_tasks;
    std::map<uint64_t, Key> m_keys;
};

}
