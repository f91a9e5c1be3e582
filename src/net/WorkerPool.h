#pragma once

#include "net/PollLoop.h"

#include <Poco/ThreadPool.h>
#include <functional>
#include <memory>

namespace parsleypaddle {

/// Runs blocking calls on a few threads and posts their completions to the loop.
/// Must be used on the loop's thread, and destroyed after the last run of the loop. The destructor waits for running tasks
/// and drops queued ones.
class WorkerPool {
public:
    /// Runs on a worker thread and returns the completion, which then runs on the loop's thread.
    using Task = std::function<std::function<void()>()>;

    /// `queueLimit` is the maximum number of tasks that wait for a free thread. Returns an error if `threads` is 0 or above
    /// 32767, if `queueLimit` is 0, or if the threads cannot be started.
    static absl::StatusOr<std::unique_ptr<WorkerPool>> create(PollLoop&, unsigned threads, size_t queueLimit);
    ~WorkerPool();

    /// Queues a task. Returns false, without running it, if the queue is full.
    [[nodiscard]] bool submit(Task);

private:
    WorkerPool(PollLoop&, unsigned threads, size_t queueLimit);

    class TaskQueue;
    std::shared_ptr<TaskQueue> m_queue;
    Poco::ThreadPool m_threads;
};

}
