#pragma once

#include "base/EventLoop.h"

#include <deque>
#include <memory>

namespace parsleypaddle {

/// The event loop of one fake daemon on a shared loop. A paused one runs nothing and catches up when it goes on;
/// a stopped one never runs anything again.
class NodeLoop final : public EventLoop {
public:
    /// The daemon's clock runs `clockRate` times as fast as the shared one.
    explicit NodeLoop(EventLoop& shared, double clockRate = 1);

    Instant now() const override { return Instant(m_shared.now().sinceEpoch() * m_clockRate); }
    TimerId after(Milliseconds delay, std::function<void()> task) override;
    void cancel(TimerId) override;

    /// Runs a task now, or once the daemon goes on.
    void run(std::function<void()> task);

    void setPaused(bool);
    void stop();
    bool isStopped() const { return m_isStopped; }
    bool isPaused() const { return m_isPaused; }

private:
    struct Held {
        TimerId timer { TimerId::None };
        std::function<void()> task;
    };

    void run(TimerId, std::function<void()> task);

    EventLoop& m_shared;
    double m_clockRate;
    bool m_isPaused { false };
    bool m_isStopped { false };
    std::deque<Held> m_held;
};

}
