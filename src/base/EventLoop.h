#pragma once

#include "base/Time.h"

#include <cstdint>
#include <functional>

namespace parsleypaddle {

/// Names a pending timer of one event loop; 0 names none.
enum class TimerId : uint64_t { None = 0 };

/// The only source of time and of delayed calls. Decisions receive one and run on its single thread.
class EventLoop {
public:
    virtual ~EventLoop() = default;

    /// The present time.
    virtual Instant now() const = 0;

    /// Calls `task` once, `delay` from now or as soon after as the thread is free.
    virtual TimerId after(Milliseconds delay, std::function<void()> task) = 0;

    /// Forgets a pending timer. Unknown and expired ones are ignored.
    virtual void cancel(TimerId) = 0;
};

}
