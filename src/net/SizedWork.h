#pragma once

#include "net/WorkerPool.h"

#include <memory>
#include <utility>

namespace parsleypaddle {

/// Messages of at least this size are decoded and encoded on a worker thread, unless its queue is full; they would block the
/// loop for milliseconds.
constexpr size_t largeMessageBytes = size_t { 256 } * 1024;

/// Runs `work` and passes its result to `after`. With fewer than `largeMessageBytes` bytes, or with a full worker queue, both run
/// before the call returns; otherwise `work` runs on a worker and `after` later on the loop's thread. `work` must not use
/// data of the loop's thread, and `after` must check that the object that it belongs to still exists.
template <typename WorkItem, typename After>
void runOnWorkerIfLarge(WorkerPool& workers, size_t bytes, WorkItem work, After after)
{
    if (bytes < largeMessageBytes) {
        after(work());
        return;
    }
    auto shared = std::make_shared<std::pair<WorkItem, After>>(std::move(work), std::move(after));
    const bool isQueued = workers.submit([shared] {
        auto result = std::make_shared<decltype(shared->first())>(shared->first());
        return [shared, result] { shared->second(std::move(*result)); };
    });
    if (!isQueued)
        shared->second(shared->first());
}

}
