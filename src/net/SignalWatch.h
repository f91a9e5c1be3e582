#pragma once

#include "net/PollLoop.h"

#include <functional>

namespace parsleypaddle {

/// Calls `onTerminate` on the loop's thread for SIGTERM and SIGINT, and `onReload`, if given, for SIGHUP. Must be created
/// before any other thread starts, because threads inherit the mask that blocks these signals. Ignores SIGPIPE.
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
