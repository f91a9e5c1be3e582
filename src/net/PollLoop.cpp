#include "net/PollLoop.h"

#include "base/ResultCode.h"
#include "net/TimerDescriptor.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <ctime>
#include <map>
#include <mutex>
#include <sys/eventfd.h>
#include <unistd.h>
#include <unordered_map>
#include <vector>

namespace parsleypaddle {

namespace {

    constexpr long maxPollMicroseconds = 1'000'000;

    /// A Poco socket for a descriptor that another object owns: the destructor does not close the descriptor.
    class BorrowedSocketImpl final : public Poco::Net::StreamSocketImpl {
    public:
        explicit BorrowedSocketImpl(poco_socket_t descriptor)
            : StreamSocketImpl(descriptor)
        {
        }

    protected:
        ~BorrowedSocketImpl() override { reset(); }
    };

    class BorrowedSocket final : public Poco::Net::Socket {
    public:
        explicit BorrowedSocket(int descriptor)
            : Socket(new BorrowedSocketImpl(descriptor))
        {
        }
    };

    int pollModeOf(Readiness interest)
    {
        int mode = Poco::Net::PollSet::POLL_ERROR;
        if (has(interest, Readiness::Read))
            mode |= Poco::Net::PollSet::POLL_READ;
        if (has(interest, Readiness::Write))
            mode |= Poco::Net::PollSet::POLL_WRITE;
        return mode;
    }

    Readiness readinessOf(int mode)
    {
        Readiness ready = Readiness::None;
        if (mode & Poco::Net::PollSet::POLL_READ)
            ready = ready | Readiness::Read;
        if (mode & Poco::Net::PollSet::POLL_WRITE)
            ready = ready | Readiness::Write;
        if (mode & Poco::Net::PollSet::POLL_ERROR)
            ready = ready | Readiness::Failure;
        return ready;
    }

    Milliseconds sinceEpoch(std::chrono::system_clock::duration duration)
    {
        return Milliseconds(std::chrono::duration<double, std::milli>(duration).count());
    }

    Milliseconds sinceBoot()
    {
        constexpr double millisecondsPerSecond = 1000;
        constexpr double nanosecondsPerMillisecond = 1'000'000;
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return Milliseconds(static_cast<double>(time.tv_sec) * millisecondsPerSecond + static_cast<double>(time.tv_nsec) / nanosecondsPerMillisecond);
    }

}

class PollLoop::Internals {
public:
    struct Watched {
        BorrowedSocket socket;
        std::shared_ptr<ReadyTask> task;
    };

    using Key = std::pair<double, uint64_t>;

    // The wall-clock time at start plus the time since then on CLOCK_BOOTTIME: a step of the system clock does not move
    // timers, and time during which the machine is suspended counts, so that leases expire meanwhile.
    Instant now() const { return m_startTime + (sinceBoot() - m_startSinceBoot); }

    void runDueTimers()
    {
        const double due = now().sinceEpoch();
        while (!timers.empty() && timers.begin()->first.first <= due) {
            auto it = timers.begin();
            auto task = std::move(it->second);
            timerKeys.erase(it->first.second);
            timers.erase(it);
            task();
        }
    }

    void runPosted()
    {
        std::vector<std::function<void()>> tasks;
        {
            std::lock_guard<std::mutex> lock(mutex);
            tasks.swap(posted);
        }
        for (auto& it : tasks)
            it();
    }

    // Returns whether a timer is due; if not, `timer` is armed for the earliest one, if any. PollSet rounds waits to whole
    // milliseconds and polls in a busy loop for the rest, so a timer descriptor ends the wait instead.
    bool isTimerDue()
    {
        if (timers.empty())
            return false;
        const double due = timers.begin()->first.first;
        const Milliseconds wait = Instant(due) - now();
        if (wait <= Milliseconds(0))
            return true;
        if (due != armedDueTime)
            timer.arm(wait);
        armedDueTime = due;
        return false;
    }

    void acknowledgeTimer()
    {
        timer.clear();
        armedDueTime = 0;
    }

    void pollOnce()
    {
        const long wait = isTimerDue() ? 0 : maxPollMicroseconds;
        const auto ready = pollSet.poll(Poco::Timespan(wait));
        for (const auto& [socket, mode] : ready)
            dispatchEvents(socket.impl()->sockfd(), mode);
    }

    void dispatchEvents(int descriptor, int mode)
    {
        auto it = watched.find(descriptor);
        if (it == watched.end())
            return;
        const auto task = it->second.task;
        (*task)(readinessOf(mode));
    }

    // Changes the events that are polled for. Returns false if this fails because the owner closed the descriptor before
    // unwatch(), as libcurl does for aborted transfers. The kernel has then removed it from the poll set, and the number may
    // already denote another descriptor.
    bool update(const BorrowedSocket& socket, Readiness interest)
    {
        try {
            pollSet.update(socket, pollModeOf(interest));
            return true;
        } catch (const Poco::Exception&) {
            return false;
        }
    }

    void remove(const BorrowedSocket& socket)
    {
        try {
            pollSet.remove(socket);
        } catch (const Poco::Exception&) {
            return;
        }
    }

    void wake() const
    {
        const uint64_t one = 1;
        // A write to a full counter fails, but a full counter is readable and wakes the loop, so the result is ignored.
        (void)!write(wakeDescriptor, &one, sizeof(one));
    }

    void drainWakeCounter() const
    {
        uint64_t count = 0;
        (void)!read(wakeDescriptor, &count, sizeof(count));
    }

    int wakeDescriptor { -1 };
    TimerDescriptor timer;
    /// The due time in milliseconds that `timer` is armed for; 0 while it is not armed.
    double armedDueTime { 0 };
    Poco::Net::PollSet pollSet;
    std::unordered_map<int, Watched> watched;
    std::map<Key, std::function<void()>> timers;
    std::unordered_map<uint64_t, Key> timerKeys;
    uint64_t lastTimer { 0 };
    std::mutex mutex;
    std::vector<std::function<void()>> posted;
    std::atomic<bool> isStopping { false };

private:
    Instant m_startTime { Instant(sinceEpoch(std::chrono::system_clock::now().time_since_epoch()).count()) };
    Milliseconds m_startSinceBoot { sinceBoot() };
};

absl::StatusOr<std::unique_ptr<PollLoop>> PollLoop::create()
{
    try {
        std::unique_ptr<PollLoop> loop(new PollLoop);
        const int descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        if (descriptor < 0 || loop->m_internals->timer.descriptor() < 0)
            return absl::ResourceExhaustedError("cannot create the event loop: its eventfd or timerfd could not be created, for example because no file descriptor is free");
        loop->m_internals->wakeDescriptor = descriptor;
        loop->watch(descriptor, Readiness::Read, [internals = loop->m_internals.get()](Readiness) { internals->drainWakeCounter(); });
        loop->watch(loop->m_internals->timer.descriptor(), Readiness::Read, [internals = loop->m_internals.get()](Readiness) { internals->acknowledgeTimer(); });
        return loop;
    } catch (const Poco::Exception& ec) {
        return absl::InternalError(ec.displayText());
    }
}

PollLoop::PollLoop()
    : m_internals(std::make_unique<Internals>())
{
}

PollLoop::~PollLoop()
{
    unwatch(m_internals->timer.descriptor());
    if (m_internals->wakeDescriptor < 0)
        return;
    unwatch(m_internals->wakeDescriptor);
    close(m_internals->wakeDescriptor);
}

Instant PollLoop::now() const
{
    return m_internals->now();
}

TimerId PollLoop::after(Milliseconds delay, std::function<void()> task)
{
    const uint64_t timer = ++m_internals->lastTimer;
    const Internals::Key key { (now() + std::max(delay, Milliseconds(0))).sinceEpoch(), timer };
    m_internals->timers.emplace(key, std::move(task));
    m_internals->timerKeys.emplace(timer, key);
    return TimerId { timer };
}

void PollLoop::cancel(TimerId timer)
{
    auto it = m_internals->timerKeys.find(static_cast<uint64_t>(timer));
    if (it == m_internals->timerKeys.end())
        return;
    m_internals->timers.erase(it->second);
    m_internals->timerKeys.erase(it);
}

void PollLoop::watch(int descriptor, Readiness interest, ReadyTask task)
{
    auto shared = std::make_shared<ReadyTask>(std::move(task));
    auto it = m_internals->watched.find(descriptor);
    if (it != m_internals->watched.end() && m_internals->update(it->second.socket, interest)) {
        it->second.task = std::move(shared);
        return;
    }
    unwatch(descriptor);
    BorrowedSocket socket(descriptor);
    m_internals->pollSet.add(socket, pollModeOf(interest));
    m_internals->watched.emplace(descriptor, Internals::Watched { socket, std::move(shared) });
}

void PollLoop::unwatch(int descriptor)
{
    auto it = m_internals->watched.find(descriptor);
    if (it == m_internals->watched.end())
        return;
    m_internals->remove(it->second.socket);
    m_internals->watched.erase(it);
}

void PollLoop::post(std::function<void()> task)
{
    {
        std::lock_guard<std::mutex> lock(m_internals->mutex);
        m_internals->posted.push_back(std::move(task));
    }
    m_internals->wake();
}

void PollLoop::run()
{
    while (!m_internals->isStopping.exchange(false)) {
        m_internals->pollOnce();
        m_internals->runPosted();
        m_internals->runDueTimers();
        // Timers without delay that the tasks above set run before the next poll, which saves a system call.
        m_internals->runDueTimers();
    }
}

void PollLoop::stop()
{
    m_internals->isStopping = true;
    m_internals->wake();
}

}
