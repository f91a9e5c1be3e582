#include "acknowledgement/TargetChannel.h"

#include "base/ResultCode.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds shortestAskGap { 1 };
    constexpr Milliseconds longestAskGap { 20 };
    constexpr Milliseconds shortestConnectGap { 25 };
    constexpr Milliseconds longestConnectGap { 400 };
    /// How many times the answer timeout an overdue answer is still listened for.
    constexpr double lateAnswerFactor = 3;

    bool isConnectionDead(const absl::Status& status)
    {
        const ResultCode code = resultCodeOf(status);
        return code == ResultCode::TargetSilent || code == ResultCode::ConnectionLost || code == ResultCode::OutcomeUnknown;
    }

}

struct TargetChannel::Line {
    std::unique_ptr<TargetConnection> connection;
    AskOrder asked;
    TimerId overdue { TimerId::None };
    bool isBusy { false };
    bool hasAnswered { false };
};

TargetChannel::TargetChannel(EventLoop& loop, TargetConnector& connector, const TargetConfiguration& target, const GroupControlSettings& settings, TargetChannelClient& client)
    : m_loop(loop)
    , m_connector(connector)
    , m_target(target)
    , m_settings(settings)
    , m_client(client)
    , m_askGap(shortestAskGap)
    , m_connectGap(shortestConnectGap)
{
}

TargetChannel::~TargetChannel()
{
    m_loop.cancel(m_wakeTimer);
    if (m_line)
        m_loop.cancel(m_line->overdue);
}

void TargetChannel::ask()
{
    m_askGap = shortestAskGap;
    m_nextQuestionAt = std::min(m_nextQuestionAt, m_loop.now() + m_askGap);
    m_isQuestionWanted = true;
    pump();
}

void TargetChannel::askAgain()
{
    m_nextQuestionAt = std::max(m_nextQuestionAt, m_loop.now() + m_askGap);
    m_askGap = std::min(m_askGap * 2, longestAskGap);
    m_isQuestionWanted = true;
    pump();
}

void TargetChannel::run(const TargetBatch& batch, TargetConnection::Done done)
{
    m_commands.push_back({ batch, std::move(done) });
    m_nextConnectAt = std::min(m_nextConnectAt, m_loop.now());
    pump();
}

void TargetChannel::pump()
{
    const bool hasWork = m_isQuestionWanted || !m_commands.empty();
    if (!hasWork || m_isConnecting || (m_line && m_line->isBusy))
        return;
    const Instant now = m_loop.now();
    if (!m_line) {
        if (now < m_nextConnectAt)
            wakeAfter(m_nextConnectAt - now);
        else
            connect();
        return;
    }
    if (!m_commands.empty())
        sendCommand();
    else if (now < m_nextQuestionAt)
        wakeAfter(m_nextQuestionAt - now);
    else
        sendQuestion();
}

void TargetChannel::wakeAfter(Milliseconds delay)
{
    m_loop.cancel(m_wakeTimer);
    m_wakeTimer = m_loop.after(delay, [this] {
        m_wakeTimer = TimerId::None;
        pump();
    });
}

void TargetChannel::connect()
{
    m_isConnecting = true;
    std::weak_ptr<int> alive = m_alive;
    m_connector.connect(m_target, m_settings.connectTimeout, [this, alive](auto connection) {
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
    m_connectGap = shortestConnectGap;
    m_line = std::make_shared<Line>();
    m_line->connection = *std::move(connection);
    pump();
}

void TargetChannel::connectFailed(const absl::Status& status)
{
    m_nextConnectAt = m_loop.now() + m_connectGap;
    m_connectGap = std::min(m_connectGap * 2, longestConnectGap);
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
        pump();
}

void TargetChannel::sendQuestion()
{
    m_isQuestionWanted = false;
    m_nextQuestionAt = m_loop.now() + shortestAskGap;
    TargetBatch question;
    question.operation = TargetOperation::Status;
    send(question, nullptr);
}

void TargetChannel::sendCommand()
{
    Command command = std::move(m_commands.front());
    m_commands.pop_front();
    send(command.batch, std::move(command.done));
}

void TargetChannel::send(const TargetBatch& batch, TargetConnection::Done done)
{
    const auto line = m_line;
    const bool isCommand = done != nullptr;
    line->isBusy = true;
    line->asked = m_client.nextAskOrder();
    line->overdue = m_loop.after(m_settings.answerTimeout, [this, isCommand] { setAside(isCommand); });
    std::weak_ptr<Line> weak = line;
    line->connection->run(batch, m_settings.answerTimeout * lateAnswerFactor, [this, weak, isCommand, done](absl::StatusOr<TargetReply> reply) {
        if (auto it = weak.lock())
            answered(it, isCommand, std::move(reply), done);
    });
}

void TargetChannel::answered(const std::shared_ptr<Line>& line, bool isCommand, absl::StatusOr<TargetReply> reply, const TargetConnection::Done& done)
{
    m_loop.cancel(line->overdue);
    line->overdue = TimerId::None;
    line->isBusy = false;
    const bool isDead = !reply.ok() && isConnectionDead(reply.status());
    const bool wasFresh = !line->hasAnswered;
    line->hasAnswered = line->hasAnswered || !isDead;
    // A command that was refused shows that the target knows more than we do.
    m_isQuestionWanted = m_isQuestionWanted || !reply.ok();
    if (isDead || line != m_line)
        drop(line);
    std::weak_ptr<int> alive = m_alive;
    if (!isDead)
        setSuspect(false);
    else if (wasFresh)
        setSuspect(true);
    if (reply.ok())
        m_client.targetAnswered(m_target.id, reply->status, line->asked);
    if (isCommand)
        done(std::move(reply));
    if (!alive.expired())
        pump();
}

// A command is never sent twice: it may have taken effect. Its sender gets the late answer, or the error.
void TargetChannel::setAside(bool isCommand)
{
    m_line->overdue = TimerId::None;
    m_isQuestionWanted = m_isQuestionWanted || !isCommand;
    const bool wasFresh = !m_line->hasAnswered;
    m_overdueLines.push_back(std::move(m_line));
    m_line.reset();
    if (wasFresh)
        setSuspect(true);
    pump();
}

// The connection may be the one that is calling back, so it ends with the next task.
void TargetChannel::drop(const std::shared_ptr<Line>& line)
{
    if (line == m_line)
        m_line.reset();
    m_overdueLines.erase(std::remove(m_overdueLines.begin(), m_overdueLines.end(), line), m_overdueLines.end());
    m_loop.after(Milliseconds(0), [line] { line->connection.reset(); });
}

void TargetChannel::setSuspect(bool isSuspect)
{
    if (m_isSuspect == isSuspect)
        return;
    m_isSuspect = isSuspect;
    m_client.suspicionChanged(m_target.id, isSuspect);
}

}
