#pragma once

#include "groups/TargetStatus.h"

#include <vector>

namespace parsleypaddle {

/// What a daemon last heard about one target.
struct TargetView {
    TargetId target;
    TargetStatus status;
    /// When `status` was heard; zero when never.
    Instant heardAt;
    /// New connections fail or go unanswered.
    bool isSuspect { false };
};

/// What a daemon knows about a database group. It may be stale: targets check terms and positions themselves.
struct GroupView {
    DatabaseId database;
    Term term;
    /// Empty while no primary is known.
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
