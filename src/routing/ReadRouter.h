#pragma once

#include "base/EventLoop.h"
#include "configuration/Configuration.h"
#include "groups/GroupView.h"

#include <memory>
#include <vector>

namespace parsleypaddle {

/// What a read needs.
struct ReadNeed {
    /// Position that it must see; 0 for none.
    LogPosition minimumPosition;
    Milliseconds greatestAge;
    Instant deadline;
};

/// What one attempt of a read brought.
struct ReadAttempt {
    TargetId target;
    /// Time from sending to the answer.
    Milliseconds took;
    /// TargetBehind and unreachable targets are avoided for a while.
    bool wasBehind { false };
    bool wasUnreachable { false };
};

/// Orders the targets that may serve a read, best first, by freshness, delay, lag and load. The targets check
/// positions and ages themselves; the router only guesses well.
class ReadRouter {
public:
    virtual ~ReadRouter() = default;

    /// The targets to try in order; the primary is among them, mostly last. Leaving targets are left out.
    virtual std::vector<TargetId> order(const GroupConfiguration&, const GroupView&, const ReadNeed&, Instant now) = 0;

    /// Learns from an attempt.
    virtual void learn(const ReadAttempt&, Instant now) = 0;

    /// `ownDomain` is the daemon's failure domain; `seed` breaks ties.
    static std::unique_ptr<ReadRouter> create(FailureDomainId ownDomain, uint64_t seed);
};

}
