#pragma once

#include "base/Time.h"

#include <cstdint>

namespace parsleypaddle {

/// What a daemon has learned from its reads at one target. Pure.
class TargetExperience {
public:
    /// An attempt was answered after `took`.
    void succeeded(Milliseconds took, Instant now);
    /// The target lacked the position, or its data was too old.
    void wasBehind(Instant now);
    void wasUnreachable(Instant now);

    /// Expected time of a read; `fallback` unless one was answered lately.
    Milliseconds expectedDelay(Milliseconds fallback, Instant now) const;

    /// Whether reads should go elsewhere for now.
    bool isAvoided(Instant now) const { return now < m_avoidedUntil; }

private:
    double troubleAt(Instant now) const;
    void avoid(Instant now);

    double m_delay { 0 };
    uint32_t m_answers { 0 };
    Instant m_lastAnswer;
    /// Recent share of attempts that found it behind, between 0 and 1; fades with time.
    double m_trouble { 0 };
    Instant m_troubleAt;
    bool m_isTroubled { false };
    uint32_t m_avoidances { 0 };
    Instant m_avoidedUntil;
};

}
