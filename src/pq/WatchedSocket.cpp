#include "pq/WatchedSocket.h"

#include <fcntl.h>
#include <unistd.h>

namespace parsleypaddle {

// libpq closes its descriptor by itself when the peer goes; a closed descriptor can no longer leave the poll set.
WatchedSocket::WatchedSocket(PollLoop& loop, int descriptor)
    : m_loop(loop)
    , m_descriptor(fcntl(descriptor, F_DUPFD_CLOEXEC, 0))
{
}

WatchedSocket::~WatchedSocket()
{
    if (m_descriptor < 0)
        return;
    m_loop.unwatch(m_descriptor);
    close(m_descriptor);
}

void WatchedSocket::watch(Readiness interest, PollLoop::ReadyTask task)
{
    m_interest = interest;
    m_task = std::move(task);
    if (m_descriptor >= 0)
        m_loop.watch(m_descriptor, interest, m_task);
}

void WatchedSocket::setInterest(Readiness interest)
{
    if (interest != m_interest)
        watch(interest, m_task);
}

}
