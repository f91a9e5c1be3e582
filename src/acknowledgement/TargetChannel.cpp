#include "acknowledgement/TargetChannel.h"

#include "base/ResultCode.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds minimumQueryInterval { 1 };
    constexpr Milliseconds maximumQueryInterval { 20 };
    constexpr Milliseconds minimumReconnectDelay { 25 };
    constexpr Milliseconds maximumReconnectDelay { 400 };
    /// A batch without an answer fails after this multiple of the answer timeout; until then a late answer is accepted.
    constexpr double lateAnswerFactor = 3;

    bool isConnectionError(const absl::Status& status)
    {
        const ResultCode code = resultCodeOf(status);
        return code == ResultCode::TargetSilent || code == ResultCode::ConnectionLost || code == ResultCode::OutcomeUnknown;
    }

}

struct TargetChannel::OpenConnection {
    std::unique_ptr<TargetConnection> targetConnection;
    BatchSequence sequence;
    TimerId answerTimer { TimerId::None };
    bool isBusy { false };
    bool hasAnswered { false };
};

TargetChannel::TargetChannel(EventLoop& loop, TargetConnector& connector, const TargetConfiguration& target, const GroupControlSettings& settings, TargetChannelClient& client)
    : m_loop(loop)
    , m_connector(connector)
    , m_target(target)
    , m_settings(settings)
    , m_client(client)
    , m_queryInterval(minimumQueryInterval)
    , m_reconnectDelay(minimumReconnectDelay)
{
}

TargetChannel::~TargetChannel()
{
    m_loop.cancel(m_sendTimer);
    if (m_connection)
        m_loop.cancel(m_connection->answerTimer);
}

void TargetChannel::query()
{
    m_queryInterval = minimumQueryInterval;
    m_nextQueryAt = std::min(m_nextQueryAt, m_loop.now() + m_queryInterval);
    m_isQueryPending = true;
    sendNext();
}

void TargetChannel::queryAgain()
{
    m_nextQueryAt = std::max(m_nextQueryAt, m_loop.now() + m_queryInterval);
    m_queryInterval = std::min(m_queryInterval * 2, maximumQueryInterval);
    m_isQueryPending = true;
    sendNext();
}

void TargetChannel::run(const TargetBatch& batch, TargetConnection::Done done)
{
    m_commands.push_back({ batch, std::move(done) });
    m_nextConnectAt = std::min(m_nextConnectAt, m_loop.now());
    sendNext();
}

void TargetChannel::sendNext()
{
    const bool hasWork = m_isQueryPending || !m_commands.empty();
    if (!hasWork || m_isConnecting || (m_connection && m_connection->isBusy))
        return;
    const Instant now = m_loop.now();
    if (!m_connection) {
        if (now < m_nextConnectAt)
            scheduleSendNext(m_nextConnectAt - now);
        else
            connect();
        return;
    }
    if (!m_commands.empty())
        sendCommand();
    else if (now < m_nextQueryAt)
        scheduleSendNext(m_nextQueryAt - now);
    else
        sendQuery();
}

void TargetChannel::scheduleSendNext(Milliseconds delay)
{
    m_loop.cancel(m_sendTimer);
    m_sendTimer = m_loop.after(delay, [this] {
        m_sendTimer = TimerId::None;
        sendNext();
    });
}

void TargetChannel::connect()
{
    m_isConnecting = true;
    std::weak_ptr<int> alive = m_alive;
    m_connector.connect(m_target, OrganisationId(), m_settings.connectTimeout, [this, alive](auto connection) {
        if (!alive.expired())
            connected(std::move(connection));
    });
}

void TargetChannel::connected(absl::StatusOr<std::unique_ptr<TargetConnection>> connection)
{
    m_isConnecting = false;
    if (!connection.ok()) {
        connectFailed(connection.status());
        return;
    }
    m_reconnectDelay = minimumReconnectDelay;
    m_connection = std::make_shared<OpenConnection>();
    m_connection->targetConnection = *std::move(connection);
    sendNext();
}

void TargetChannel::connectFailed(const absl::Status& status)
{
    m_nextConnectAt = m_loop.now() + m_reconnectDelay;
    m_reconnectDelay = std::min(m_reconnectDelay * 2, maximumReconnectDelay);
    std::weak_ptr<int> alive = m_alive;
    std::deque<Command> failed;
    failed.swap(m_commands);
    setSuspect(true);
    for (const auto& it : failed) {
        if (alive.expired())
            return;
        it.done(status);
    }
    if (!alive.expired())
        sendNext();
}

void TargetChannel::sendQuery()
{
    m_isQueryPending = false;
    m_nextQueryAt = m_loop.now() + minimumQueryInterval;
    TargetBatch batch;
    batch.operation = TargetOperation::Status;
    send(batch, nullptr);
}

void TargetChannel::sendCommand()
{
    Command command = std::move(m_commands.front());
    m_commands.pop_front();
    send(command.batch, std::move(command.done));
}

void TargetChannel::send(const TargetBatch& batch, TargetConnection::Done done)
{
    const auto connection = m_connection;
    const bool isCommand = done != nullptr;
    connection->isBusy = true;
    connection->sequence = m_client.nextBatchSequence();
    connection->answerTimer = m_loop.after(m_settings.answerTimeout, [this, isCommand] { moveToOverdue(isCommand); });
    std::weak_ptr<OpenConnection> weak = connection;
    connection->targetConnection->run(batch, m_settings.answerTimeout * lateAnswerFactor, [this, weak, isCommand, done](absl::StatusOr<TargetReply> reply) {
        if (auto it = weak.lock())
            answered(it, isCommand, std::move(reply), done);
    });
}

void TargetChannel::answered(const std::shared_ptr<OpenConnection>& connection, bool isCommand, absl::StatusOr<TargetReply> reply, const TargetConnection::Done& done)
{
    m_loop.cancel(connection->answerTimer);
    connection->answerTimer = TimerId::None;
    connection->isBusy = false;
    const bool isBroken = !reply.ok() && isConnectionError(reply.status());
    const bool wasUnanswered = !connection->hasAnswered;
    connection->hasAnswered = connection->hasAnswered || !isBroken;
    // After a refusal or a lost connection the target may have newer state than this daemon has recorded, so its status is
    // queried again.
    m_isQueryPending = m_isQueryPending || !reply.ok();
    if (isBroken || connection != m_connection)
        closeConnection(connection);
    std::weak_ptr<int> alive = m_alive;
    if (!isBroken)
        setSuspect(false);
    else if (wasUnanswered)
        setSuspect(true);
    if (reply.ok())
        m_client.targetAnswered(m_target.id, reply->status, connection->sequence);
    if (isCommand)
        done(std::move(reply));
    if (!alive.expired())
        sendNext();
}

// A status query is sent again on a new connection. A command is never sent twice, because it may have taken effect; its
// caller receives the late answer or the error.
void TargetChannel::moveToOverdue(bool isCommand)
{
    m_connection->answerTimer = TimerId::None;
    m_isQueryPending = m_isQueryPending || !isCommand;
    const bool wasUnanswered = !m_connection->hasAnswered;
    m_overdueConnections.push_back(std::move(m_connection));
    m_connection.reset();
    if (wasUnanswered)
        setSuspect(true);
    sendNext();
}

// This may run in a callback of the connection, so the connection is destroyed in a later task of the event loop.
void TargetChannel::closeConnection(const std::shared_ptr<OpenConnection>& connection)
{
    if (connection == m_connection)
        m_connection.reset();
    m_overdueConnections.erase(std::remove(m_overdueConnections.begin(), m_overdueConnections.end(), connection), m_overdueConnections.end());
    m_loop.after(Milliseconds(0), [connection] { connection->targetConnection.reset(); });
}

void TargetChannel::setSuspect(bool isSuspect)
{
    if (m_isSuspect == isSuspect)
        return;
    m_isSuspect = isSuspect;
    m_client.suspicionChanged(m_target.id, isSuspect);
}

}
