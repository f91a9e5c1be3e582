#pragma once

#include "groups/GroupView.h"
#include "statements/StatementAnswer.h"

#include <functional>

namespace parsleypaddle {

/// The operations that the home of a target offers. The home is the daemon that queues and runs the requests to the target;
/// the entry daemon is the one that received a request from a client.
enum class HomeOperation : uint8_t {
    /// Run the request's read at the target.
    Read,
    /// Run the request's write or transaction step at the target.
    Write,
    /// Find out whether the request's write ran. If it did not, prevent it from running later.
    Settle,
    /// Return the primary's log position, after a majority of the group has confirmed the primary's term.
    PrimaryPosition,
    /// Reply at once, so that the caller can distinguish a slow home from an unresponsive one.
    Ping,
};

/// A request that an entry daemon sends to a home.
struct HomeCall {
    HomeOperation operation { HomeOperation::Read };
    TargetId target;
    StatementRequest request;
    /// Log position that the target must have applied before it runs a read. The position is valid in the log of
    /// `minimumTerm` and of later terms.
    LogPosition minimumPosition;
    Term minimumTerm;
    /// Greatest staleness of the target that a read accepts, with the policy exceptions already applied.
    Milliseconds greatestAge;
};

/// A home's answer. The answer's session token is empty; the entry daemon creates it from term and position.
struct HomeReply {
    StatementAnswer answer;
    Term term;
    LogPosition position;
    /// The home's view of the group, from which entry daemons detect changes such as a new primary.
    GroupView view;
};

/// Sends calls to homes on other daemons and on this one. Every call is answered at the latest a few milliseconds
/// after its request's deadline.
/// PeerUnreachable: the call was not delivered. PeerSilent: the call may have been delivered, but no answer came.
class HomeClient {
public:
    using Done = std::function<void(HomeReply)>;

    virtual ~HomeClient() = default;
    virtual void call(const InstanceId&, const HomeCall&, Done) = 0;
};

}
