#pragma once

#include "base/Time.h"

#include <cstdint>
#include <random>

namespace parsleypaddle {

/// Decides when and how many connection attempts to one target may be under way, so that a target that is down or
/// comes back meets no burst of them. Pure.
class ReconnectBackoff {
public:
    explicit ReconnectBackoff(uint64_t seed);

    /// Whether one more attempt may begin beside the `underWay` ones.
    bool mayAttempt(Instant now, uint32_t underWay) const;

    void succeeded();
    void failed(Instant now);

    /// Whether the last attempt that ended failed.
    bool isFailing() const { return m_failures > 0; }

    /// The earliest time of the next attempt.
    Instant nextAttempt() const { return m_nextAttempt; }

private:
    uint32_t m_failures { 0 };
    Instant m_nextAttempt;
    std::mt19937_64 m_random;
};

}
