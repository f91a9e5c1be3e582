#include "platform_http/PlatformCaller.h"

#include "base/ResultCode.h"
#include "platform_ports/UnexecutedCall.h"

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
    // The socket's timeouts bound each step, the deadline bounds the whole; whichever comes first is the answer. A call whose answer was given
    // up is not sent any more.
    auto pending = std::make_shared<Responded>(std::move(done));
    const auto finish = [pending](absl::StatusOr<PlatformResponse> response) {
        if (auto function = std::exchange(*pending, nullptr))
            function(std::move(response));
    };
    auto received = std::make_shared<ReceivedBytes>(0);
    auto deadline = TransferDeadline::start(m_loop, timeout, received, [finish] { finish(makeError(ResultCode::PlatformUnavailable, "the platform did not answer in time")); });
    const auto timeLeft = [&loop = m_loop, until = m_loop.now() + timeout] { return until - loop.now(); };
    const bool isTaken = m_workers.submit([deadline, received, finish, host, port, timeLeft, request = std::move(request)]() -> std::function<void()> {
        auto response = exchangeWithPlatform(host, port, timeLeft, request, *received);
        return [deadline, finish, response = std::move(response)] {
            deadline->cancel();
            finish(response);
        };
    });
    if (!isTaken) {
        deadline->cancel();
        m_loop.post([finish] { finish(makeUnexecutedCallError("too many requests to the platform wait already")); });
    }
}

}
