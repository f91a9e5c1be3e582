#pragma once

#include "net/WorkerPool.h"

#include <memory>
#include <utility>

namespace parsleypaddle {

/// Messages of at least so many bytes are decoded and encoded off the loop, which they would hold up for milliseconds.
constexpr size_t largeMessageBytes = size_t { 256 } * 1024;

/// Calls `after` with the result of `work`: at once for a small message, later on the loop's thread for a large one.
/// `work` touches nothing of the loop's thread; `after` finds out whether its owner still is.
template <typename Work, typename After>
void runBySize(WorkerPool& workers, size_t bytes, Work work, After after)
{
    if (bytes < largeMessageBytes) {
        after(work());
        return;
    }
    auto shared = std::make_shared<std::pair<Work, After>>(std::move(work), std::move(after));
    const bool isTaken = workers.submit([shared] {
        auto result = std::make_shared<decltype(shared->first())>(shared->first());
        return [shared, result] { shared->second(std::move(*result)); };
    });
    if (!isTaken)
        shared->second(shared->first());
}

}
