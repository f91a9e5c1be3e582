#include "net/SignalWatch.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace parsleypaddle {

SignalWatch::SignalWatch(PollLoop& loop, std::function<void()> onTerminate, std::function<void()> onReload)
    : m_loop(loop)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    if (onReload)
        sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a connection that the peer has closed raises SIGPIPE, which would terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    m_descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    m_loop.watch(m_descriptor, Readiness::Read, [this, onTerminate = std::move(onTerminate), onReload = std::move(onReload)](Readiness) {
        signalfd_siginfo info {};
        while (read(m_descriptor, &info, sizeof(info)) == sizeof(info)) {
            if (info.ssi_signo == SIGHUP)
                onReload();
            else
                onTerminate();
        }
    });
}

SignalWatch::~SignalWatch()
{
    m_loop.unwatch(m_descriptor);
    close(m_descriptor);
}

}
