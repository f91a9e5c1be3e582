#pragma once

#include "groups/GroupView.h"
#include "promotion/Promoter.h"

#include <optional>

namespace parsleypaddle {

/// Decides from a group's view whether a change of primary is due, and since when. Does no I/O and reads no clock.
class FailureDetector {
public:
    explicit FailureDetector(const PromoterSettings&);

    /// Why a change is due, and when it became due.
    struct DueChange {
        PromotionCause cause { PromotionCause::PrimarySilent };
        Instant dueSince;
    };

    /// Evaluates the current view. Returns nullopt while no change is due: there is no cause, no majority of the targets
    /// answers, the cause has not lasted long enough yet, or the change is held off.
    std::optional<DueChange> evaluate(const GroupView&, Instant now);

private:
    struct State {
        DueChange change;
        Instant firstSeenAt;
        bool isDue { false };
    };

    bool checkDue(const GroupView&, Instant now);
    bool isMajorityAnswering(const GroupView&, Instant now) const;
    bool isPrimarySilent(const GroupView&, Instant now) const;
    bool hasReplicaReachedPrimary(const GroupView&, Instant now) const;
    bool hasTargetOnLaterTerm(const GroupView&, Instant now) const;
    std::optional<PromotionCause> causeIn(const GroupView&, Instant now) const;

    PromoterSettings m_settings;
    Milliseconds m_reachablePrimaryHoldOff;
    std::optional<State> m_state;
};

}
