#pragma once

#include "entry/EntryContext.h"
#include "statements/StatementAnswer.h"

#include <functional>
#include <memory>

namespace parsleypaddle {

/// One request on its way: what reads, writes and transactions have in common. It keeps itself alive while something
/// is under way, and answers exactly once, at the latest at the deadline.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
public:
    using Done = std::function<void(StatementAnswer)>;

    RequestRun(EntryContext&, StatementRequest, SessionState, std::shared_ptr<const GroupConfiguration>, const Policy&, Done);
    virtual ~RequestRun() = default;

    RequestRun(const RequestRun&) = delete;
    RequestRun& operator=(const RequestRun&) = delete;

    void start();

protected:
    using Replied = std::function<void(HomeReply)>;

    /// Makes the next attempt.
    virtual void attempt() = 0;

    /// The code to answer when the deadline comes first.
    virtual ResultCode codeAtDeadline() const = 0;

    /// Calls the homes of a target, best first, until one takes the call. Uncertain calls (PeerSilent) are not
    /// passed on to the next home.
    void callHomes(HomeOperation, const TargetId&, LogPosition minimumPosition, Term minimumTerm, Replied);

    /// Calls one daemon.
    void callInstance(const InstanceId&, const HomeCall&, Replied);

    HomeCall makeCall(HomeOperation, const TargetId&, LogPosition minimumPosition, Term minimumTerm) const;

    /// Keeps the latest refusal, for the answer at the deadline and for whom to ask next.
    void noteRefusal(const StatementAnswer&);

    /// Attempts again after a pause that grows with each time.
    void attemptLater();

    /// Whether the budget allows another attempt that puts work on targets.
    bool takeRetry();

    void finish(StatementAnswer);
    void refuse(ResultCode, std::string message);
    void decide(std::string what, std::string why) const;
    /// The same, when a further attempt follows.
    void decideRetry(std::string what, std::string why) const;

    const GroupView& view() { return m_context.views.find(m_group->database); }

    /// The target to ask as primary; any target when none is known, since its home tells who it is.
    TargetId primaryToAsk();

    Milliseconds remaining() const { return m_request.deadline - m_context.loop.now(); }
    bool isFinished() const { return !m_done; }

    EntryContext& m_context;
    StatementRequest m_request;
    SessionState m_session;
    /// Keeps the configuration alive that it is part of.
    std::shared_ptr<const GroupConfiguration> m_group;
    Policy m_policy;
    StatementAnswer m_lastRefusal;

private:
    void callNextHome(std::shared_ptr<std::vector<InstanceId>> homes, size_t n, const HomeCall&, const Replied&);

    Done m_done;
    uint32_t m_attempts { 0 };
    uint32_t m_asks { 0 };
    bool m_mustAskOthers { false };
    TargetId m_lastAsked;
    TimerId m_deadlineTimer { TimerId::None };
};

/// Whether a refusal means that another home, target or moment may serve the request.
bool mayServeElsewhere(ResultCode);

}
