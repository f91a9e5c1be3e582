#pragma once

#include "base/Time.h"

namespace parsleypaddle {

/// A descriptor that becomes readable after a given time, finer than the whole milliseconds that a poll waits for.
class TimerDescriptor {
public:
    TimerDescriptor();
    ~TimerDescriptor();
    TimerDescriptor(const TimerDescriptor&) = delete;
    TimerDescriptor& operator=(const TimerDescriptor&) = delete;

    /// Negative when the process has no descriptor left.
    int descriptor() const { return m_descriptor; }

    /// Becomes readable once, `delay` from now; replaces what was set before.
    void arm(Milliseconds delay);

    /// Takes note of the expiry.
    void clear() const;

private:
    int m_descriptor;
};

}
