#pragma once

#include "acknowledgement/StatusBoard.h"

#include <deque>
#include <memory>
#include <vector>

namespace parsleypaddle {

/// What a channel tells its owner.
class TargetChannelClient {
public:
    virtual ~TargetChannelClient() = default;

    /// The order of the question that is sent now.
    virtual AskOrder nextAskOrder() = 0;

    virtual void targetAnswered(const TargetId&, const TargetStatus&, AskOrder asked) = 0;

    /// Whether new connections fail or go unanswered has changed.
    virtual void suspicionChanged(const TargetId&, bool isSuspect) = 0;
};

/// The control connection to one target. A connection that does not answer in time is set aside and a new one takes
/// its place; an answer that still comes on the old one counts.
class TargetChannel {
public:
    TargetChannel(EventLoop&, TargetConnector&, const TargetConfiguration&, const GroupControlSettings&, TargetChannelClient&);
    ~TargetChannel();

    TargetChannel(const TargetChannel&) = delete;
    TargetChannel& operator=(const TargetChannel&) = delete;

    /// Sends a status question as soon as the one under way is answered and the pace allows.
    void ask();

    /// Asks again for those who still wait, each time in a row a little later.
    void askAgain();

    /// Runs a control batch once, ahead of questions that wait.
    void run(const TargetBatch&, TargetConnection::Done);

private:
    struct Line;
    struct Command {
        TargetBatch batch;
        TargetConnection::Done done;
    };

    void pump();
    void connect();
    void connected(absl::StatusOr<std::unique_ptr<TargetConnection>>);
    void connectFailed(const absl::Status&);
    void sendQuestion();
    void sendCommand();
    void send(const TargetBatch&, TargetConnection::Done);
    void answered(const std::shared_ptr<Line>&, bool isCommand, absl::StatusOr<TargetReply>, const TargetConnection::Done&);
    void setAside(bool isCommand);
    void drop(const std::shared_ptr<Line>&);
    void setSuspect(bool);
    void wakeAfter(Milliseconds);

    EventLoop& m_loop;
    TargetConnector& m_connector;
    TargetConfiguration m_target;
    GroupControlSettings m_settings;
    TargetChannelClient& m_client;
    /// Lives as long as the channel, so that late calls find out that it is gone.
    std::shared_ptr<int> m_alive { std::make_shared<int>(0) };
    std::shared_ptr<Line> m_line;
    /// Connections that did not answer in time, kept until they answer or fail.
    std::vector<std::shared_ptr<Line>> m_overdueLines;
    std::deque<Command> m_commands;
    bool m_isQuestionWanted { false };
    bool m_isConnecting { false };
    bool m_isSuspect { false };
    Instant m_nextQuestionAt;
    Instant m_nextConnectAt;
    Milliseconds m_askGap;
    Milliseconds m_connectGap;
    TimerId m_wakeTimer { TimerId::None };
};

}
