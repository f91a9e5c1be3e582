#pragma once

#include "groups/GroupView.h"

#include <optional>

namespace parsleypaddle {

/// Follows what one target said of itself, and extends it to the present. Pure.
class ReplicaProgress {
public:
    /// Takes over a newer statement; older ones are ignored.
    void update(const TargetView&);

    /// The position that it has probably applied by now.
    LogPosition expectedApplied(Instant now) const;

    /// The age that its data probably has now: it grows with time only as far as it was seen to grow.
    Milliseconds expectedAge(Instant now) const;

    /// Time until it has probably applied `position`; nullopt when it does not seem to move.
    std::optional<Milliseconds> waitFor(LogPosition position, Instant now) const;

private:
    TargetView m_last;
    /// Positions applied per millisecond.
    double m_rate { 0 };
    /// Growth of its age per millisecond: 0 when it keeps up, 1 when it stands still.
    double m_ageing { 0 };
};

}
