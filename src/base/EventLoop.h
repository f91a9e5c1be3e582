#pragma once

#include "base/Time.h"

#include <cstdint>
#include <functional>

namespace parsleypaddle {

/// Identifies a pending timer of one event loop; None identifies no timer.
enum class TimerId : uint64_t { None = 0 };

/// The only source of time and timers for the daemon's logic, which runs on the loop's single thread. Tests pass a VirtualLoop.
class EventLoop {
public:
    virtual ~EventLoop() = default;

    virtual Instant now() const = 0;

    /// Calls `task` once, after `delay` or as soon afterwards as the loop's thread is free.
    virtual TimerId after(Milliseconds delay, std::function<void()> task) = 0;

    /// Cancels a pending timer. Ids of unknown or expired timers are ignored.
    virtual void cancel(TimerId) = 0;
};

}
