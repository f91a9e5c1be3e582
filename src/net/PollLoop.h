#pragma once

#include "base/EventLoop.h"

#include <absl/status/statusor.h>
#include <memory>

namespace parsleypaddle {

/// Bit flags for the events that a descriptor is watched for, and for those that occurred.
enum class Readiness : uint8_t {
    None = 0,
    Read = 1,
    Write = 2,
    Failure = 4,
};

constexpr Readiness operator|(Readiness a, Readiness b) { return static_cast<Readiness>(static_cast<uint8_t>(a) | static_cast<uint8_t>(b)); }
constexpr bool has(Readiness set, Readiness bit) { return (static_cast<uint8_t>(set) & static_cast<uint8_t>(bit)) != 0; }

/// The daemon's event loop: it polls descriptors with POCO's PollSet, and runs timers and tasks posted by other threads.
/// Only post() and stop() are thread-safe; all other functions must be called on the thread that calls run().
class PollLoop final : public EventLoop {
public:
    using ReadyTask = std::function<void(Readiness)>;

    static absl::StatusOr<std::unique_ptr<PollLoop>> create();
    ~PollLoop() override;

    Instant now() const override;
    TimerId after(Milliseconds delay, std::function<void()> task) override;
    void cancel(TimerId) override;

    /// Calls `task` whenever the descriptor is ready for one of `interest` or has failed. A second call for the same
    /// descriptor replaces both. The caller keeps ownership and should call unwatch() before it closes the descriptor; the
    /// events of a descriptor closed earlier are no longer reported.
    void watch(int descriptor, Readiness interest, ReadyTask task);
    void unwatch(int descriptor);

    /// Queues `task` to run on the loop's thread; may be called from any thread.
    void post(std::function<void()> task);

    /// Runs until stop() is called; returns at once if stop() was called before. May be called again afterwards.
    void run();
    void stop();

private:
    PollLoop();

    class Internals;
    std::unique_ptr<Internals> m_internals;
};

}
