#include "net/WorkerPool.h"

#include "base/ResultCode.h"

#include <Poco/Runnable.h>
#include <condition_variable>
#include <deque>
#include <limits>
#include <mutex>
#include <vector>

namespace parsleypaddle {

// The tasks that wait, and the workers' loop over them. Each worker occupies one thread of POCO's pool for good, since
// POCO's pool refuses work when all threads are busy instead of queueing it.
class WorkerPool::Shared final : public Poco::Runnable {
public:
    Shared(PollLoop& loop, size_t queueLimit)
        : m_loop(loop)
        , m_queueLimit(queueLimit)
    {
    }

    bool offer(Task task)
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
        while (Task task = take())
            m_loop.post(task());
    }

private:
    /// The next task, or none when the pool stops.
    Task take()
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
        return makeError(ResultCode::ValueOutOfRange, "a worker pool needs at least one thread and room for one task");
    try {
        std::unique_ptr<WorkerPool> pool(new WorkerPool(loop, threads, queueLimit));
        for (unsigned n = 0; n < threads; ++n)
            pool->m_threads.start(*pool->m_shared);
        return pool;
    } catch (const Poco::Exception& ec) {
        return absl::ResourceExhaustedError(ec.displayText());
    }
}

WorkerPool::WorkerPool(PollLoop& loop, unsigned threads, size_t queueLimit)
    : m_shared(std::make_shared<Shared>(loop, queueLimit))
    , m_threads(1, static_cast<int>(threads))
{
}

WorkerPool::~WorkerPool()
{
    m_shared->stop();
    m_threads.joinAll();
}

bool WorkerPool::submit(Task task)
{
    return m_shared->offer(std::move(task));
}

}
