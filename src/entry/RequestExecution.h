#pragma once

#include "entry/EntryContext.h"
#include "statements/StatementAnswer.h"

#include <functional>
#include <memory>

namespace parsleypaddle {

/// The execution of one request: what reads, writes and transaction steps have in common. Pending calls and timers
/// keep the object alive. It answers exactly once, at the latest at the deadline.
class RequestExecution : public std::enable_shared_from_this<RequestExecution> {
public:
    using Done = std::function<void(StatementAnswer)>;

    RequestExecution(EntryContext&, StatementRequest, SessionState, std::shared_ptr<const GroupConfiguration>, const Policy&, Done);
    virtual ~RequestExecution() = default;

    RequestExecution(const RequestExecution&) = delete;
    RequestExecution& operator=(const RequestExecution&) = delete;

    void start();

protected:
    using ReplyHandler = std::function<void(HomeReply)>;

    virtual void attempt() = 0;

    /// The result code to answer with if the deadline passes before a final result is known.
    virtual ResultCode resultCodeAtDeadline() const = 0;

    /// Calls the homes of a target (the daemons that hold connections to it) one after another, in the order of their
    /// ranking, as long as the reply is a code with which another home may still serve the call. A call that ends with
    /// PeerSilent is not sent to the next home, because the home that did not answer may have executed it.
    void callHomes(HomeOperation, const TargetId&, LogPosition minimumPosition, Term minimumTerm, ReplyHandler);

    void callInstance(const InstanceId&, const HomeCall&, ReplyHandler);

    HomeCall makeCall(HomeOperation, const TargetId&, LogPosition minimumPosition, Term minimumTerm) const;

    /// Records an unsuccessful answer. The answer at the deadline and selectPrimaryTarget() depend on the last one recorded.
    void recordFailure(const StatementAnswer&);

    /// Starts another attempt after a random delay, whose upper limit grows with each retry up to maximumRetryDelay. Starts
    /// none when the deadline has passed by then.
    void scheduleRetry();

    /// Spends one retry of the daemon's budget; false when none is left.
    bool takeRetry();

    void finish(StatementAnswer);
    void finishWithError(ResultCode, std::string message);
    void recordDecision(std::string what, std::string why) const;
    /// Records a decision that is followed by another attempt.
    void recordRetry(std::string what, std::string why) const;

    const GroupView& view() { return m_context.views.find(m_group->database); }

    /// Returns the known primary. When none is known, or the last call to it ended with a retryable code, returns the next
    /// of the group's targets (round robin, possibly the primary again): a home's reply contains the group view that the
    /// home knows, and so the primary.
    TargetId selectPrimaryTarget();

    Milliseconds remaining() const { return m_request.deadline - m_context.loop.now(); }
    bool isFinished() const { return !m_done; }

    EntryContext& m_context;
    StatementRequest m_request;
    SessionState m_session;
    /// Shares ownership of the whole configuration, of which the group is a part.
    std::shared_ptr<const GroupConfiguration> m_group;
    Policy m_policy;
    StatementAnswer m_lastFailure;

private:
    void callNextHome(std::shared_ptr<std::vector<InstanceId>> homes, size_t n, const HomeCall&, const ReplyHandler&);

    Done m_done;
    uint32_t m_retryCount { 0 };
    uint32_t m_nextAskedTarget { 0 };
    bool m_mustAskOtherTarget { false };
    TargetId m_lastCalledTarget;
    TimerId m_deadlineTimer { TimerId::None };
};

/// Whether a request that did not run and ended with this code is retried: it may succeed at another home, at another
/// target or later.
bool isRetryable(ResultCode);

}
