#include "net/TimerDescriptor.h"

#include <algorithm>
#include <cstdint>
#include <sys/timerfd.h>
#include <unistd.h>

namespace parsleypaddle {

namespace {

    constexpr int64_t nanosecondsPerMillisecond = 1'000'000;
    constexpr int64_t nanosecondsPerSecond = 1'000'000'000;

}

TimerDescriptor::TimerDescriptor()
    : m_descriptor(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
}

TimerDescriptor::~TimerDescriptor()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

void TimerDescriptor::arm(Milliseconds delay)
{
    // A value of zero would disarm the timer.
    const auto nanoseconds = std::max<int64_t>(1, static_cast<int64_t>(delay.count() * nanosecondsPerMillisecond));
    itimerspec time {};
    time.it_value.tv_sec = nanoseconds / nanosecondsPerSecond;
    time.it_value.tv_nsec = nanoseconds % nanosecondsPerSecond;
    timerfd_settime(m_descriptor, 0, &time, nullptr);
}

void TimerDescriptor::clear() const
{
    uint64_t count = 0;
    (void)!read(m_descriptor, &count, sizeof(count));
}

}
