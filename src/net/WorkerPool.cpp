#include "net/WorkerPool.h"

#include "base/ResultCode.h"

#include <Poco/Runnable.h>
#include <condition_variable>
#include <deque>
#include <limits>
#include <mutex>
#include <vector>

namespace parsleypaddle {

// The queue of waiting tasks and the loop in which each worker runs them. Each worker occupies a thread of POCO's pool until
// the pool stops, because POCO's pool rejects work while all threads are busy instead of queueing it.
class WorkerPool::TaskQueue final : public Poco::Runnable {
public:
    TaskQueue(PollLoop& loop, size_t queueLimit)
        : m_loop(loop)
        , m_queueLimit(queueLimit)
    {
    }

    bool enqueue(Task task)
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (m_tasks.size() >= m_queueLimit)
                return false;
            m_tasks.push_back(std::move(task));
        }
        m_changed.notify_one();
        return true;
    }

    void stop()
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_isStopping = true;
        }
        m_changed.notify_all();
    }

    void run() override
    {
        while (Task task = waitForTask())
            m_loop.post(task());
    }

private:
    /// Waits for the next task; returns an empty one when the pool stops.
    Task waitForTask()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait(lock, [this] { return m_isStopping || !m_tasks.empty(); });
        if (m_isStopping)
            return nullptr;
        Task task = std::move(m_tasks.front());
        m_tasks.pop_front();
        return task;
    }

    PollLoop& m_loop;
    size_t m_queueLimit;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Task> m_tasks;
    bool m_isStopping { false };
};

absl::StatusOr<std::unique_ptr<WorkerPool>> WorkerPool::create(PollLoop& loop, unsigned threads, size_t queueLimit)
{
    if (threads == 0 || threads > std::numeric_limits<int16_t>::max() || queueLimit == 0)
        return makeError(ResultCode::ValueOutOfRange, "worker pool: expected 1 to 32767 threads and a queue limit of at least 1");
    try {
        std::unique_ptr<WorkerPool> pool(new WorkerPool(loop, threads, queueLimit));
        for (unsigned n = 0; n < threads; ++n)
            pool->m_threads.start(*pool->m_queue);
        return pool;
    } catch (const Poco::Exception& ec) {
        return absl::ResourceExhaustedError(ec.displayText());
    }
}

WorkerPool::WorkerPool(PollLoop& loop, unsigned threads, size_t queueLimit)
    : m_queue(std::make_shared<TaskQueue>(loop, queueLimit))
    , m_threads(1, static_cast<int>(threads))
{
}

WorkerPool::~WorkerPool()
{
    m_queue->stop();
    m_threads.joinAll();
}

bool WorkerPool::submit(Task task)
{
    return m_queue->enqueue(std::move(task));
}

}
