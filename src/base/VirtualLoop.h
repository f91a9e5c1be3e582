#pragma once

#include "base/EventLoop.h"

#include <map>
#include <utility>

namespace parsleypaddle {

/// An event loop on virtual time: tests and measurements advance it, and equal inputs give equal runs.
class VirtualLoop final : public EventLoop {
public:
    explicit VirtualLoop(Instant start = Instant(1'700'000'000'000.0));

    Instant now() const override { return m_now; }
    TimerId after(Milliseconds delay, std::function<void()> task) override;
    void cancel(TimerId) override;

    /// Runs every task due within `span` and leaves the time at its end.
    void advance(Milliseconds span);

    /// Runs tasks until `isDone` answers true or `limit` has passed. Returns whether it was done.
    bool runUntil(const std::function<bool()>& isDone, Milliseconds limit);

private:
    using Key = std::pair<double, uint64_t>;

    bool runNext(Instant limit);

    Instant m_now;
    uint64_t m_lastTimer { 0 };
    std::map<Key, std::function<void()>> m_tasks;
    std::map<uint64_t, Key> m_keys;
};

}
