#pragma once

#include "groups/GroupView.h"

#include <optional>

namespace parsleypaddle {

/// Estimates how far a target has applied the log, and how old its data is, by extrapolation from the statuses that it
/// reported. Reads no clock: callers pass the time.
class ReplicaProgress {
public:
    /// Records the target's status if it is newer than the last one, and ignores it otherwise.
    void update(const TargetView&);

    /// The position that the target has probably applied by now.
    LogPosition expectedPosition(Instant now) const;

    /// The probable age of the target's data. It grows at the rate observed between the target's last statuses, and
    /// beyond the longest extrapolation by the time elapsed.
    Milliseconds expectedAge(Instant now) const;

    /// Time until the target has probably applied `position`; nullopt when its position hardly advances.
    std::optional<Milliseconds> timeUntilApplied(LogPosition position, Instant now) const;

private:
    TargetView m_lastView;
    /// Moving average of the positions applied per millisecond.
    double m_applyRate { 0 };
    /// Increase of the data's age in milliseconds per millisecond: 0 when the target keeps up with the primary, 1 when it
    /// applies nothing.
    double m_ageGrowth { 0 };
};

}
