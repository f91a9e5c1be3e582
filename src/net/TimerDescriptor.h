#pragma once

#include "base/Time.h"

namespace parsleypaddle {

/// A timerfd: a descriptor that becomes readable after a delay, at a finer resolution than poll's whole milliseconds.
class TimerDescriptor {
public:
    TimerDescriptor();
    ~TimerDescriptor();
    TimerDescriptor(const TimerDescriptor&) = delete;
    TimerDescriptor& operator=(const TimerDescriptor&) = delete;

    /// Negative if the timerfd could not be created.
    int descriptor() const { return m_descriptor; }

    /// Makes the descriptor readable once, after `delay`. Replaces an earlier delay.
    void arm(Milliseconds delay);

    /// Reads the expiration count, so that the descriptor is no longer readable.
    void clear() const;

private:
    int m_descriptor;
};

}
