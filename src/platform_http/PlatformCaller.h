#pragma once

#include "base/Time.h"
#include "net/WorkerPool.h"
#include "platform_http/PlatformExchange.h"

#include <absl/status/statusor.h>
#include <functional>

namespace parsleypaddle {

/// Calls the platform from a worker and brings the answer back to the loop.
class PlatformCaller {
public:
    using Responded = std::function<void(absl::StatusOr<PlatformResponse>)>;

    PlatformCaller(PollLoop&, WorkerPool&);

    /// Answers once, on the loop's thread, at the latest after `timeout`, unless the response arrives slowly (see TransferDeadline).
    void call(const std::string& host, uint16_t port, Milliseconds timeout, PlatformRequest, Responded);

private:
    PollLoop& m_loop;
    WorkerPool& m_workers;
};

}
