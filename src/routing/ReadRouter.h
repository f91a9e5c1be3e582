#pragma once

#include "base/EventLoop.h"
#include "configuration/Configuration.h"
#include "groups/GroupView.h"

#include <memory>
#include <vector>

namespace parsleypaddle {

/// How fresh the data of a read must be. The router does not use the deadline.
struct ReadRequirements {
    /// Log position that the target must have applied; 0 for none.
    LogPosition minimumPosition;
    /// Maximum age of the target's data.
    Milliseconds greatestAge;
    Instant deadline;
};

/// The result of one attempt to run a read at a target.
struct ReadAttempt {
    TargetId target;
    /// Time from sending the request until it was answered or failed.
    Milliseconds duration;
    /// The target answered TargetBehind or TermChanged. Replicas that do so repeatedly, and unreachable replicas, are avoided
    /// for a while.
    bool wasBehind { false };
    bool wasUnreachable { false };
};

/// Orders the targets that may serve a read, best first, by estimates of their lag and delay. The estimates may be wrong:
/// each target checks position and age itself.
class ReadRouter {
public:
    virtual ~ReadRouter() = default;

    /// The targets to try, in order: replicas that are probably fresh enough, then the primary, then the other replicas.
    /// Suspect targets come last, leaving targets are omitted. If the best fresh replica is much slower than the
    /// primary, the primary comes first.
    virtual std::vector<TargetId> rankTargets(const GroupConfiguration&, const GroupView&, const ReadRequirements&, Instant now) = 0;

    /// Updates the estimates of a target with the result of an attempt.
    virtual void recordAttempt(const ReadAttempt&, Instant now) = 0;

    /// `ownDomain` is the daemon's failure domain. `seed` randomizes the order of targets with similar delays.
    static std::unique_ptr<ReadRouter> create(FailureDomainId ownDomain, uint64_t seed);
};

}
