#pragma once

#include "net/PollLoop.h"

#include <functional>

namespace parsleypaddle {

/// Turns SIGTERM and SIGINT, and SIGHUP where a reload is wanted, into calls on the loop's thread. To be made before any other thread starts.
class SignalWatch {
public:
    SignalWatch(PollLoop&, std::function<void()> onTerminate, std::function<void()> onReload = nullptr);
    ~SignalWatch();

    SignalWatch(const SignalWatch&) = delete;
    SignalWatch& operator=(const SignalWatch&) = delete;

private:
    PollLoop& m_loop;
    int m_descriptor { -1 };
};

}
