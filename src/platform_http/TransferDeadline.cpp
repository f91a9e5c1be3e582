#include "platform_http/TransferDeadline.h"

#include <utility>

namespace parsleypaddle {

namespace {

    /// An answer is abandoned when no byte of it arrives for this long.
    constexpr Milliseconds stallTimeout { 900 };
    /// Limit of all extensions of a call. The largest answer is 1 MB, which takes 4 s over a link of 2 Mbit/s.
    constexpr Milliseconds maxExtension { 12'000 };

}

TransferDeadline::TransferDeadline(EventLoop& loop, std::shared_ptr<const ReceivedBytes> received, std::function<void()> expired)
    : m_loop(loop)
    , m_received(std::move(received))
    , m_expired(std::move(expired))
{
}

std::shared_ptr<TransferDeadline> TransferDeadline::start(EventLoop& loop, Milliseconds timeout, std::shared_ptr<const ReceivedBytes> received, std::function<void()> expired)
{
    std::shared_ptr<TransferDeadline> deadline(new TransferDeadline(loop, std::move(received), std::move(expired)));
    deadline->checkAfter(timeout);
    return deadline;
}

void TransferDeadline::cancel()
{
    m_loop.cancel(std::exchange(m_timer, TimerId::None));
    m_expired = nullptr;
}

void TransferDeadline::checkAfter(Milliseconds delay)
{
    m_timer = m_loop.after(delay, [self = shared_from_this()] { self->check(); });
}

void TransferDeadline::check()
{
    m_timer = TimerId::None;
    const size_t received = *m_received;
    if (std::exchange(m_seen, received) == received || m_extended >= maxExtension) {
        if (auto expired = std::exchange(m_expired, nullptr))
            expired();
        return;
    }
    m_extended = m_extended + stallTimeout;
    checkAfter(stallTimeout);
}

}
