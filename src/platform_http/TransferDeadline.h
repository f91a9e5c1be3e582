#pragma once

#include "base/EventLoop.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>

namespace parsleypaddle {

/// Bytes of an answer received so far. Written by the thread that receives them.
using ReceivedBytes = std::atomic<size_t>;

/// Ends a call whose answer does not begin within its timeout, or stalls. Over a slow link a large answer takes longer than the
/// timeout to arrive, so the deadline is extended while bytes arrive.
class TransferDeadline : public std::enable_shared_from_this<TransferDeadline> {
public:
    /// Calls `expired` once, unless cancel() is called before.
    static std::shared_ptr<TransferDeadline> start(EventLoop&, Milliseconds timeout, std::shared_ptr<const ReceivedBytes>, std::function<void()> expired);

    void cancel();

private:
    TransferDeadline(EventLoop&, std::shared_ptr<const ReceivedBytes>, std::function<void()> expired);

    void checkAfter(Milliseconds);
    void check();

    EventLoop& m_loop;
    std::shared_ptr<const ReceivedBytes> m_received;
    std::function<void()> m_expired;
    size_t m_seen { 0 };
    Milliseconds m_extended;
    TimerId m_timer { TimerId::None };
};

}
