#include "daemon/LoopBridge.h"

#include "base/ResultCode.h"

#include <chrono>
#include <future>
#include <memory>

namespace parsleypaddle {

ControlHandler bridgeToLoop(PollLoop& loop, LoopHandler handler, Milliseconds limit)
{
    return [&loop, handler = std::move(handler), limit](const std::string& parameters) {
        auto promise = std::make_shared<std::promise<ControlResult>>();
        auto future = promise->get_future();
        loop.post([handler, parameters, promise] {
            auto isAnswered = std::make_shared<bool>(false);
            handler(parameters, [promise, isAnswered](ControlResult result) {
                if (!*isAnswered)
                    promise->set_value(std::move(result));
                *isAnswered = true;
            });
        });
        const std::chrono::duration<double, std::milli> wait(limit.count());
        if (future.wait_for(wait) != std::future_status::ready)
            return ControlResult::failure(static_cast<int>(ResultCode::PeerSilent), "the daemon did not answer in time");
        return future.get();
    };
}

}
