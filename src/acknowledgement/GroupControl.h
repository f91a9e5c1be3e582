#pragma once

#include "base/EventLoop.h"
#include "groups/GroupView.h"
#include "statements/StatementAnswer.h"
#include "targets/TargetConnection.h"

#include <functional>
#include <memory>

namespace parsleypaddle {

/// Term and log position of a group's primary, with the term confirmed by a majority.
struct PrimaryPosition {
    Term term;
    LogPosition position;
};

/// Timing of a daemon's status queries to the targets of a group.
struct GroupControlSettings {
    /// Time between two status queries to the primary of a healthy group, before the heartbeat factor is applied.
    Milliseconds heartbeatInterval { 250 };
    /// While the group is healthy, its replicas are queried only at every n-th heartbeat. Otherwise every heartbeat
    /// queries all targets, and the interval is shorter.
    uint32_t heartbeatsPerReplicaQuery { 8 };
    /// A connection that has not answered a batch within this time is replaced by a new one.
    Milliseconds answerTimeout { 300 };
    Milliseconds connectTimeout { 300 };
};

/// One daemon's control connections to the targets of one group. Each target has one connection, and further ones only
/// while an answer is overdue. Calls of confirm() and requests for the primary's position that arrive while a status query
/// is in flight share the next query, so one answer serves all of them.
class GroupControl {
public:
    using ConfirmCallback = std::function<void(absl::StatusOr<AckLevel>)>;
    using PositionCallback = std::function<void(absl::StatusOr<PrimaryPosition>)>;
    using ChangeObserver = std::function<void(const GroupView&)>;

    virtual ~GroupControl() = default;

    /// The latest view, built from the answers of the targets to this daemon.
    virtual const GroupView& view() const = 0;

    /// Adds a callback that runs when the term or the primary changes, or when a target becomes or stops being suspect.
    virtual void addChangeObserver(ChangeObserver) = 0;

    /// Reports the level of the commit at (term, position) as soon as it satisfies `rule`, possibly before returning.
    /// Errors: TermChanged once a majority is on a later term, NotConfirmed at `deadline`.
    virtual void confirm(Term, LogPosition, AckRule rule, Instant deadline, ConfirmCallback) = 0;

    /// The acknowledgement level that the commit at (term, position) is known to have reached. Sends no query.
    virtual AckLevel ackLevelAt(Term, LogPosition) const = 0;

    /// Queries all targets for the primary's position. Error: NoPrimary unless a majority on the primary's term, the primary
    /// included, has answered queries sent after this call by `deadline`.
    virtual void queryPrimaryPosition(Instant deadline, PositionCallback) = 0;

    /// Whether a majority, the primary included, has answered within the last `span` and is on the primary's term.
    virtual bool isPrimaryConfirmedByMajority(Milliseconds span) const = 0;

    /// Multiplies the heartbeat interval while the group is healthy. Meant for daemons that are not the first in rank to
    /// replace a failed primary.
    virtual void setHeartbeatFactor(uint32_t) = 0;

    /// Runs a control batch (Status, Fence, Promote or Settle) at one target. It is sent at most once.
    virtual void run(const TargetId&, const TargetBatch&, TargetConnection::Done) = 0;

    static std::unique_ptr<GroupControl> create(EventLoop&, TargetConnector&, const GroupConfiguration&, const GroupControlSettings&);
};

}
