#pragma once

#include "net/PollLoop.h"

namespace parsleypaddle {

/// Watches a socket that libpq owns, through a duplicate of its descriptor.
class WatchedSocket {
public:
    /// `descriptor` stays its owner's.
    WatchedSocket(PollLoop&, int descriptor);
    ~WatchedSocket();
    WatchedSocket(const WatchedSocket&) = delete;
    WatchedSocket& operator=(const WatchedSocket&) = delete;

    /// Replaces what is called when the socket is ready.
    void watch(Readiness interest, PollLoop::ReadyTask);

    /// Changes only what the socket is waited for.
    void setInterest(Readiness);

private:
    PollLoop& m_loop;
    int m_descriptor;
    Readiness m_interest { Readiness::None };
    PollLoop::ReadyTask m_task;
};

}
