#include "telemetry/LineWriter.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>

namespace parsleypaddle {

namespace {

    /// Blocks all signals for the calling thread, and the threads that it starts, until its destruction.
    class SignalBlock {
    public:
        SignalBlock()
        {
            sigset_t all;
            sigfillset(&all);
            pthread_sigmask(SIG_SETMASK, &all, &m_previous);
        }
        ~SignalBlock() { pthread_sigmask(SIG_SETMASK, &m_previous, nullptr); }

        SignalBlock(const SignalBlock&) = delete;
        SignalBlock& operator=(const SignalBlock&) = delete;

    private:
        sigset_t m_previous {};
    };

}

// The thread inherits the mask. With all signals blocked, signals of the process reach the threads that wait for them, and a write to a closed
// pipe returns an error.
std::shared_ptr<LineWriter> LineWriter::create(int descriptor, size_t maxQueuedBytes, LossReport lossReport)
{
    auto state = std::make_shared<State>();
    state->descriptor = descriptor;
    state->maxQueuedBytes = maxQueuedBytes;
    state->lossReport = std::move(lossReport);
    const SignalBlock block;
    try {
        std::thread([state] { run(state); }).detach();
    } catch (const std::system_error&) {
        return nullptr;
    }
    return std::shared_ptr<LineWriter>(new LineWriter(std::move(state)));
}

LineWriter::LineWriter(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

LineWriter::~LineWriter()
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->isStopped = true;
    m_state->changed.notify_all();
}

void LineWriter::write(std::string line)
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    if (m_state->queuedBytes + line.size() > m_state->maxQueuedBytes) {
        ++m_state->unreported;
        ++m_state->lost;
        return;
    }
    m_state->queuedBytes += line.size();
    m_state->lines.push_back(std::move(line));
    m_state->changed.notify_all();
}

bool LineWriter::flush(Milliseconds limit)
{
    std::unique_lock<std::mutex> lock(m_state->mutex);
    return m_state->changed.wait_for(lock, std::chrono::duration<double, std::milli>(limit.count()), [this] { return m_state->lines.empty() && !m_state->isWriting; });
}

void LineWriter::run(const std::shared_ptr<State>& state)
{
    std::unique_lock<std::mutex> lock(state->mutex);
    while (true) {
        state->changed.wait(lock, [&state] { return !state->lines.empty() || state->isStopped; });
        if (state->isStopped)
            return;
        std::string text;
        const uint64_t unreported = std::exchange(state->unreported, 0);
        if (unreported > 0)
            text = state->lossReport(unreported);
        const auto lines = std::exchange(state->lines, {});
        state->queuedBytes = 0;
        for (const auto& it : lines)
            text += it;
        state->isWriting = true;
        lock.unlock();
        const bool isWritten = writeAll(state->descriptor, text);
        lock.lock();
        state->isWriting = false;
        if (!isWritten) {
            state->lost += lines.size();
            state->unreported += unreported + lines.size();
        }
        state->changed.notify_all();
    }
}

bool LineWriter::writeAll(int descriptor, const std::string& text)
{
    for (size_t written = 0; written < text.size();) {
        const ssize_t n = ::write(descriptor, text.data() + written, text.size() - written);
        if (n < 0 && errno != EINTR)
            return false;
        written += n < 0 ? 0 : static_cast<size_t>(n);
    }
    return true;
}

}
