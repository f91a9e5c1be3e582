#pragma once

#include "base/EventLoop.h"

#include <absl/status/statusor.h>
#include <memory>

namespace parsleypaddle {

/// What a watched descriptor is waited for, and what it is ready for. Bits.
enum class Readiness : uint8_t {
    None = 0,
    Read = 1,
    Write = 2,
    Failure = 4,
};

constexpr Readiness operator|(Readiness a, Readiness b) { return static_cast<Readiness>(static_cast<uint8_t>(a) | static_cast<uint8_t>(b)); }
constexpr bool has(Readiness set, Readiness bit) { return (static_cast<uint8_t>(set) & static_cast<uint8_t>(bit)) != 0; }

/// The daemon's event loop: POCO's poll set, timers, and tasks handed over by other threads.
/// Everything but post() and stop() belongs to the thread that calls run().
class PollLoop final : public EventLoop {
public:
    using ReadyTask = std::function<void(Readiness)>;

    static absl::StatusOr<std::unique_ptr<PollLoop>> create();
    ~PollLoop() override;

    Instant now() const override;
    TimerId after(Milliseconds delay, std::function<void()> task) override;
    void cancel(TimerId) override;

    /// Calls `task` whenever the descriptor is ready for one of `interest`. Watching again replaces both.
    /// The descriptor stays its owner's, who should unwatch it before closing it; one closed too early is forgotten.
    void watch(int descriptor, Readiness interest, ReadyTask task);
    void unwatch(int descriptor);

    /// Runs `task` on the loop's thread soon; callable from any thread.
    void post(std::function<void()> task);

    /// Runs until stop(); a stop() that came before ends it at once. May be called again afterwards.
    void run();
    void stop();

private:
    PollLoop();

    class Internals;
    std::unique_ptr<Internals> m_internals;
};

}
