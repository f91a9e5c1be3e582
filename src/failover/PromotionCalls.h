#pragma once

#include "base/Time.h"

#include <cstdint>
#include <optional>

namespace parsleypaddle {

/// This daemon's calls for the promotion of one candidate, and until when those without an answer may be carried out.
class PromotionCalls {
public:
    enum class Outcome { Accepted,
        Refused,
        /// The platform has not received the call or has not accepted it, so it is never carried out.
        Unexecuted,
        Unanswered };

    /// Forgets the calls so far. One that is still out does not count any more, but has to be ended before the next one.
    void reset();

    /// Notes that a call is sent. Returns its number, which identifies it in the log.
    uint64_t begin();
    void end(uint64_t call, Outcome, Instant now);

    bool isCallOut() const { return m_isCallOut; }
    /// Whether the last call that may be carried out was sent and has no answer.
    bool isLastUnanswered() const { return m_isLastUnanswered || isCountedCallOut(); }
    /// Whether the last call that has ended was not executed.
    bool isLastUnexecuted() const { return m_isLastUnexecuted; }
    /// When the platform last accepted the promotion.
    std::optional<Instant> acceptedAt() const { return m_acceptedAt; }

    /// When those without an answer have taken effect at the latest; unset if there are none.
    std::optional<Instant> unansweredUntil(Instant now) const;
    /// When the accepted ones have taken effect at the latest; unset if there are none.
    std::optional<Instant> acceptedUntil() const;

private:
    bool isCountedCallOut() const { return m_isCallOut && m_lastCall >= m_firstCounted; }

    uint64_t m_lastCall { 0 };
    uint64_t m_firstCounted { 1 };
    bool m_isCallOut { false };
    bool m_isLastUnanswered { false };
    bool m_isLastUnexecuted { false };
    std::optional<Instant> m_acceptedAt;
    std::optional<Instant> m_unansweredUntil;
};

}
