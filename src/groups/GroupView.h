#pragma once

#include "groups/TargetStatus.h"

#include <vector>

namespace parsleypaddle {

/// What a daemon knows about one target from its latest status.
struct TargetView {
    TargetId target;
    TargetStatus status;
    /// When the target last answered; zero before its first answer.
    Instant heardAt;
    /// Connection attempts fail, or new connections get no answer.
    bool isSuspect { false };
};

/// What a daemon knows about a database group. It may be out of date, so targets check the term and position of each
/// batch themselves.
struct GroupView {
    DatabaseId database;
    Term term;
    /// Empty while no primary is known for `term`.
    TargetId primary;
    std::vector<TargetView> targets;

    const TargetView* find(const TargetId& target) const
    {
        for (const auto& it : targets) {
            if (it.target == target)
                return &it;
        }
        return nullptr;
    }
};

}
