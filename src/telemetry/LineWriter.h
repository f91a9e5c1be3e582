#pragma once

#include "base/Time.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace parsleypaddle {

/// Writes lines to a file descriptor on a thread of its own, so that a reader that stands still does not hold up the caller. While the
/// descriptor cannot be written to, lines are queued up to a limit; those beyond it are dropped and counted.
class LineWriter {
public:
    /// The line that takes the place of `lost` lines. It says so before the next line that is written.
    using LossReport = std::function<std::string(uint64_t lost)>;

    /// `maxQueuedBytes` bounds the queued lines. The descriptor must stay open. Returns null if no thread can be started.
    static std::shared_ptr<LineWriter> create(int descriptor, size_t maxQueuedBytes, LossReport);
    /// The thread ends once the write in progress has returned. Call flush() before, to have the queue written.
    ~LineWriter();

    LineWriter(const LineWriter&) = delete;
    LineWriter& operator=(const LineWriter&) = delete;

    /// Queues a line, which includes its line feed. May be called on any thread.
    void write(std::string line);

    /// Waits until everything is written, or for `limit`. Returns whether everything is written.
    bool flush(Milliseconds limit);

    /// Lines dropped so far, because the queue was full or the descriptor failed.
    uint64_t lost() const { return m_state->lost; }

private:
    /// Shared with the thread, which may outlive the writer while a write does not return.
    struct State {
        int descriptor { -1 };
        size_t maxQueuedBytes { 0 };
        LossReport lossReport;
        std::mutex mutex;
        std::condition_variable changed;
        std::deque<std::string> lines;
        size_t queuedBytes { 0 };
        uint64_t unreported { 0 };
        bool isWriting { false };
        bool isStopped { false };
        std::atomic<uint64_t> lost { 0 };
    };

    explicit LineWriter(std::shared_ptr<State>);

    static void run(const std::shared_ptr<State>&);
    static bool writeAll(int descriptor, const std::string& text);

    std::shared_ptr<State> m_state;
};

}
