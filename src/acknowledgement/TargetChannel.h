#pragma once

#include "acknowledgement/TargetStatusTable.h"

#include <deque>
#include <memory>
#include <vector>

namespace parsleypaddle {

/// Callbacks from a TargetChannel to its owner.
class TargetChannelClient {
public:
    virtual ~TargetChannelClient() = default;

    /// Returns the number for the batch that is about to be sent.
    virtual BatchSequence nextBatchSequence() = 0;

    virtual void targetAnswered(const TargetId&, const TargetStatus&, BatchSequence sequence) = 0;

    /// A target becomes suspect when a connection attempt fails, or when a new connection fails or times out before its
    /// first answer. It stops being suspect when it answers again.
    virtual void suspicionChanged(const TargetId&, bool isSuspect) = 0;
};

/// The control connection to one target. A connection that does not answer in time is replaced by a new one; a late
/// answer on the old connection is still used.
class TargetChannel {
public:
    TargetChannel(EventLoop&, TargetConnector&, const TargetConfiguration&, const GroupControlSettings&, TargetChannelClient&);
    ~TargetChannel();

    TargetChannel(const TargetChannel&) = delete;
    TargetChannel& operator=(const TargetChannel&) = delete;

    /// Requests a status query. It is sent once the batch in flight is answered or overdue and the minimum interval between
    /// queries has passed.
    void query();

    /// Requests another status query, after an interval that doubles with each consecutive call up to a maximum.
    void queryAgain();

    /// Sends a control batch at most once, ahead of a pending status query.
    void run(const TargetBatch&, TargetConnection::Done);

private:
    struct OpenConnection;
    struct Command {
        TargetBatch batch;
        TargetConnection::Done done;
    };

    void sendNext();
    void connect();
    void connected(absl::StatusOr<std::unique_ptr<TargetConnection>>);
    void connectFailed(const absl::Status&);
    void sendQuery();
    void sendCommand();
    void send(const TargetBatch&, TargetConnection::Done);
    void answered(const std::shared_ptr<OpenConnection>&, bool isCommand, absl::StatusOr<TargetReply>, const TargetConnection::Done&);
    void moveToOverdue(bool isCommand);
    void closeConnection(const std::shared_ptr<OpenConnection>&);
    void setSuspect(bool);
    void scheduleSendNext(Milliseconds);

    EventLoop& m_loop;
    TargetConnector& m_connector;
    TargetConfiguration m_target;
    GroupControlSettings m_settings;
    TargetChannelClient& m_client;
    /// Expires with the channel, so that callbacks that run later can detect its destruction.
    std::shared_ptr<int> m_alive { std::make_shared<int>(0) };
    std::shared_ptr<OpenConnection> m_connection;
    /// Connections that have not answered in time, kept open until they answer or fail.
    std::vector<std::shared_ptr<OpenConnection>> m_overdueConnections;
    std::deque<Command> m_commands;
    bool m_isQueryPending { false };
    bool m_isConnecting { false };
    bool m_isSuspect { false };
    Instant m_nextQueryAt;
    Instant m_nextConnectAt;
    Milliseconds m_queryInterval;
    Milliseconds m_reconnectDelay;
    TimerId m_sendTimer { TimerId::None };
};

}
