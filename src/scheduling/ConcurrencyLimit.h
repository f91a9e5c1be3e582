#pragma once

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace parsleypaddle {

/// Whether a target's answers call for few or many statements at a time.
enum class PacePhase : uint8_t {
    /// The limit doubles with each round of good answers.
    SlowStart,
    /// The limit follows latency and refusals.
    Steady,
    /// The target fails; one statement at a time.
    Suspected,
};

/// Why the phase of a limit changed, or why it shrank.
enum class PaceReason : uint8_t {
    Started,
    Recovered,
    PrimaryChanged,
    ReachedShare,
    Latency,
    Busy,
    Failures,
};

/// Name of the reason in logs.
const char* nameOf(PaceReason);

/// A statement that the target has answered.
struct AnsweredStatement {
    /// Key of the run-time estimate; see WorkItem::statement.
    uint64_t kind { 0 };
    Milliseconds latency;
    /// Whether as many statements as the limit allows were in flight, or others waited, when the answer came.
    bool wasLimitInUse { false };
};

/// Limits of one home's statements at one target.
struct ConcurrencyBounds {
    /// The home's share of the target when all homes have equal demand. Slow start ends here.
    uint32_t share { 1 };
    /// The home's connections to the target.
    uint32_t greatest { 1 };
};

/// Decides how many statements one home may have in flight at one target, from the target's answers. Homes do not coordinate. Reads
/// no clock: callers pass the time.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(const ConcurrencyBounds&);

    void setBounds(const ConcurrencyBounds&);

    /// Starts with one statement again.
    void begin(PaceReason);
    /// Records a statement that the target ran.
    void recordAnswer(const AnsweredStatement&, Instant now);
    /// Records a statement sent at `sentAt` that the target refused because it was full.
    void recordBusy(Instant sentAt, Instant now);
    /// Records a statement sent at `sentAt` that got no answer.
    void recordFailure(Instant sentAt, Instant now);
    /// Allows one statement at a time until begin() is called.
    void suspect();

    uint32_t limit() const;
    PacePhase phase() const { return m_phase; }
    /// Ratio of recent latencies to the usual ones of the same kinds.
    double latencyRatio() const;

    /// The reason of the last change of phase, or of the first shrinking since the limit last grew, if not returned before.
    std::optional<PaceReason> takeChange();

private:
    /// Latencies of one kind, as logarithms of milliseconds.
    struct KindLatency {
        /// Moving average.
        double average { 0 };
        uint32_t count { 0 };
        /// The lowest average, which rises slowly with time.
        double usual { 0 };
        Instant updatedAt;
    };

    /// Logarithm of the ratio of the latency to the usual one; updates the usual one.
    double compare(const AnsweredStatement&, Instant now);
    void grow(const AnsweredStatement&, bool isSlow);
    void shrink(double factor, PaceReason, Instant now);

    ConcurrencyBounds m_bounds;
    double m_limit { 1 };
    PacePhase m_phase { PacePhase::SlowStart };
    std::map<uint64_t, KindLatency> m_kinds;
    /// Moving average of the logarithms of the ratios, over m_samples answers since the last begin().
    double m_excess { 0 };
    uint32_t m_samples { 0 };
    /// Answers since the limit last shrank.
    uint32_t m_answersAtLimit { 0 };
    /// Answers while the limit was not in use.
    uint32_t m_unloadedAnswers { 0 };
    Instant m_shrunkAt;
    bool m_hasReportedShrinking { false };
    std::optional<PaceReason> m_change;
};

}
