#pragma once

#include "groups/GroupView.h"
#include "statements/StatementAnswer.h"

#include <functional>

namespace parsleypaddle {

/// What an entry daemon asks of the home of a target.
enum class HomeOperation : uint8_t {
    /// Run the request's read at the target.
    Read,
    /// Run the request's write, or step of a transaction, at the target.
    Write,
    /// Settle whether the request's write ran.
    Settle,
    /// Give the log position of the primary, confirmed to be on its term.
    PrimaryPosition,
    /// Answer at once: tells a slow home from a silent one.
    Ping,
};

/// A request on its way from an entry daemon to a home.
struct HomeCall {
    HomeOperation operation { HomeOperation::Read };
    TargetId target;
    StatementRequest request;
    /// Position that a read has to see, counted in the log of `minimumTerm` and later ones.
    LogPosition minimumPosition;
    Term minimumTerm;
    /// Greatest age that a read accepts, exceptions applied.
    Milliseconds greatestAge;
};

/// A home's answer. The answer's token is left empty; the entry daemon seals it from term and position.
struct HomeReply {
    StatementAnswer answer;
    Term term;
    LogPosition position;
    /// The home's view of the group, so that entry daemons learn of changes with each answer.
    GroupView view;
};

/// Calls homes, this daemon's own among them. Every call is answered at the latest by its request's deadline.
/// PeerUnreachable: the call was not delivered; PeerSilent: it may have been.
class HomePort {
public:
    using Done = std::function<void(HomeReply)>;

    virtual ~HomePort() = default;
    virtual void call(const InstanceId&, const HomeCall&, Done) = 0;
};

}
