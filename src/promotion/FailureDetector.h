#pragma once

#include "groups/GroupView.h"
#include "promotion/Promoter.h"

#include <optional>

namespace parsleypaddle {

/// Decides from a group's view whether, and since when, the group needs another primary. Pure.
class FailureDetector {
public:
    explicit FailureDetector(const PromoterSettings&);

    /// A need for a change and when it arose.
    struct Finding {
        PromotionCause cause { PromotionCause::PrimarySilent };
        Instant since;
    };

    /// Takes in the present view; nullopt while the primary serves or a majority is out of reach.
    std::optional<Finding> examine(const GroupView&, Instant now);

private:
    struct State {
        Finding finding;
        Instant seenAt;
        bool isRipe { false };
    };

    bool isRipe(const GroupView&, Instant now);
    bool isMajorityHeard(const GroupView&, Instant now) const;
    bool isPrimarySilent(const GroupView&, Instant now) const;
    bool hasReplicaHeardPrimary(const GroupView&, Instant now) const;
    bool isTargetStranded(const GroupView&, Instant now) const;
    std::optional<PromotionCause> causeIn(const GroupView&, Instant now) const;

    PromoterSettings m_settings;
    Milliseconds m_evidenceLimit;
    std::optional<State> m_state;
};

}
