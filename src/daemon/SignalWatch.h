#pragma once

#include "net/PollLoop.h"

#include <functional>

namespace parsleypaddle {

/// Turns SIGTERM and SIGINT into calls on the loop's thread. To be made before any other thread starts.
class SignalWatch {
public:
    SignalWatch(PollLoop&, std::function<void()> onTerminate);
    ~SignalWatch();

    SignalWatch(const SignalWatch&) = delete;
    SignalWatch& operator=(const SignalWatch&) = delete;

private:
    PollLoop& m_loop;
    int m_descriptor { -1 };
};

}
