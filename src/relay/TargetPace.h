#pragma once

#include "routing/TargetHealth.h"
#include "scheduling/ConcurrencyLimit.h"

#include <functional>
#include <map>

namespace parsleypaddle {

/// A change of the phase of a target's limit.
struct PaceChange {
    uint32_t limit { 1 };
    PaceReason reason { PaceReason::Started };
    /// False if a line about the target with the same reason was logged shortly before.
    bool isLogged { true };
};

/// The concurrency limit of a home at one target, together with the target's health. Reads no clock.
class TargetPace {
public:
    using OnChange = std::function<void(const PaceChange&)>;

    /// `health` avoids the target in proportion to its failures as long as this object exists.
    TargetPace(TargetHealth& health, const ConcurrencyBounds&, uint64_t seed, OnChange);
    ~TargetPace() { m_health.avoidFully(); }

    TargetPace(const TargetPace&) = delete;
    TargetPace& operator=(const TargetPace&) = delete;

    void setBounds(const ConcurrencyBounds& bounds) { m_limit.setBounds(bounds); }
    uint32_t limit() const { return m_limit.limit(); }

    /// The target's process was started again, or the target has become the primary.
    void begin(PaceReason, Instant now);
    void recordAnswer(const AnsweredStatement&, Instant now);
    void recordBusy(Instant sentAt, Instant now);
    void recordFailure(Instant sentAt, Instant now);
    void recordUnreachable(Instant now);
    /// Records that a statement is about to be sent.
    void recordStart(Instant now) { m_health.failures()->recordProbe(now); }
    /// Whether the target has not answered since it failed, so that a statement that must not run twice may get no answer.
    bool isUnproven() { return m_health.failures()->isUnproven(); }

private:
    void followHealth(Instant now);

    TargetHealth& m_health;
    ConcurrencyLimit m_limit;
    OnChange m_onChange;
    std::map<PaceReason, Instant> m_loggedAt;
};

}
