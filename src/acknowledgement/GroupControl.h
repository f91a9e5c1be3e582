#pragma once

#include "base/EventLoop.h"
#include "groups/GroupView.h"
#include "statements/StatementAnswer.h"
#include "targets/TargetPort.h"

#include <functional>
#include <memory>

namespace parsleypaddle {

/// Where a group's primary stands, confirmed by a majority.
struct PrimaryPosition {
    Term term;
    LogPosition position;
};

/// Times of a daemon's control of a group.
struct GroupControlSettings {
    /// How often the primary is asked for its status while nothing else asks.
    Milliseconds heartbeat { 250 };
    /// Beats between two questions to a replica while the primary is heard. Everything is asked at once, and more
    /// often, when it is not.
    uint32_t replicaBeats { 8 };
    /// How long an answer is waited for.
    Milliseconds answerTimeout { 300 };
    Milliseconds connectTimeout { 300 };
};

/// One daemon's control connections to the targets of one group: one to each, and more only while an answer is
/// overdue. Questions that come up while one is under way share the next one, so that one answer covers all that wait.
class GroupControl {
public:
    using Confirmed = std::function<void(absl::StatusOr<AckLevel>)>;
    using PositionDone = std::function<void(absl::StatusOr<PrimaryPosition>)>;
    using ViewChanged = std::function<void(const GroupView&)>;

    virtual ~GroupControl() = default;

    /// The latest view; heard from the targets themselves.
    virtual const GroupView& view() const = 0;

    /// Calls back whenever term, primary or a target's suspicion changed. Every callback given is kept.
    virtual void onChange(ViewChanged) = 0;

    /// Answers the level a commit at (term, position) has reached: as soon as `rule` is met, or at `deadline` with
    /// NotConfirmed. TermChanged once a majority is on a later term.
    virtual void confirm(Term, LogPosition, AckRule rule, Instant deadline, Confirmed) = 0;

    /// The level known so far of a commit at (term, position).
    virtual AckLevel levelOf(Term, LogPosition) const = 0;

    /// Asks the primary for its position and a majority for its term. NoPrimary when they cannot be had by `deadline`.
    virtual void askPrimaryPosition(Instant deadline, PositionDone) = 0;

    /// Whether a majority was seen on the primary's term within the last `span`.
    virtual bool isMajorityConfirmed(Milliseconds span) const = 0;

    /// Beats that much more slowly while all is well: for daemons that are not the first to act.
    virtual void setCalmFactor(uint32_t) = 0;

    /// Runs a control batch (Status, Fence, Promote) at one target.
    virtual void run(const TargetId&, const TargetBatch&, TargetConnection::Done) = 0;

    static std::unique_ptr<GroupControl> create(EventLoop&, TargetConnector&, const GroupConfiguration&, const GroupControlSettings&);
};

}
