#pragma once

#include "groups/TargetStatus.h"

#include <vector>

namespace parsleypaddle {

/// What a daemon knows about one target from its latest status.
struct TargetView {
    TargetId target;
    TargetStatus status;
    /// When the target last answered; zero before its first answer.
    Instant lastAnswerAt;
    /// A connection attempt failed, or a new connection failed or timed out before its first answer, and the target has not
    /// answered since.
    bool isSuspect { false };
};

/// What a daemon knows about a database group. It may be out of date, so targets themselves check the term of reads and
/// writes, and for a read also the position.
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
