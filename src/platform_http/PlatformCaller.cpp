#include "platform_http/PlatformCaller.h"

#include "base/ResultCode.h"

#include <memory>
#include <utility>

namespace parsleypaddle {

PlatformCaller::PlatformCaller(PollLoop& loop, WorkerPool& workers)
    : m_loop(loop)
    , m_workers(workers)
{
}

void PlatformCaller::call(const std::string& host, uint16_t port, Milliseconds timeout, PlatformRequest request, Responded done)
{
    // The socket's timeouts bound each step, the timer bounds the whole; whichever comes first is the answer.
    auto pending = std::make_shared<Responded>(std::move(done));
    const auto finish = [pending](absl::StatusOr<PlatformResponse> response) {
        if (auto function = std::exchange(*pending, nullptr))
            function(std::move(response));
    };
    const TimerId timer = m_loop.after(timeout, [finish] { finish(makeError(ResultCode::PlatformUnavailable, "the platform did not answer in time")); });
    const bool isTaken = m_workers.submit([&loop = m_loop, timer, finish, host, port, timeout, request = std::move(request)]() -> std::function<void()> {
        auto response = exchangeWithPlatform(host, port, timeout, request);
        return [&loop, timer, finish, response = std::move(response)] {
            loop.cancel(timer);
            finish(response);
        };
    });
    if (!isTaken) {
        m_loop.cancel(timer);
        m_loop.post([finish] { finish(makeError(ResultCode::PlatformUnavailable, "too many requests to the platform wait already")); });
    }
}

}
