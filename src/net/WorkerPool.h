#pragma once

#include "net/PollLoop.h"

#include <Poco/ThreadPool.h>
#include <functional>
#include <memory>

namespace parsleypaddle {

/// Runs blocking calls on a few threads and hands their results back to the loop.
/// Belongs to the loop's thread; destroyed after the loop ran for the last time, and it then waits for running tasks.
class WorkerPool {
public:
    /// Runs on a worker, and returns what the loop's thread is to run afterwards.
    using Task = std::function<std::function<void()>()>;

    /// `queueLimit` bounds the tasks that wait for a free thread. Error: a limit of 0.
    static absl::StatusOr<std::unique_ptr<WorkerPool>> create(PollLoop&, unsigned threads, size_t queueLimit);
    ~WorkerPool();

    /// Whether the task was taken; false when too many wait already.
    [[nodiscard]] bool submit(Task);

private:
    WorkerPool(PollLoop&, unsigned threads, size_t queueLimit);

    class Shared;
    std::shared_ptr<Shared> m_shared;
    Poco::ThreadPool m_threads;
};

}
