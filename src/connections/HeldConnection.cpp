#include "connections/HeldConnection.h"

#include "base/ResultCode.h"

namespace parsleypaddle {

namespace {

    /// Whether the connection must not be used again.
    bool endsConnection(ResultCode code)
    {
        switch (code) {
        case ResultCode::TargetSilent:
        case ResultCode::ConnectionLost:
        case ResultCode::ConnectionClosed:
        case ResultCode::AnswersOutOfStep:
        case ResultCode::OutcomeUnknown:
            return true;
        default:
            return false;
        }
    }

}

HeldConnection::HeldConnection(std::shared_ptr<PoolCore> core, PoolCore::Entry entry)
    : m_core(std::move(core))
    , m_entry(std::move(entry))
{
}

// A connection whose batch is still running is closed, because the next holder would receive the answer.
HeldConnection::~HeldConnection()
{
    if (m_isReusable && !m_isRunning && session().isKnown()) {
        m_core->returnConnection(std::move(m_entry));
        return;
    }
    m_entry.connection.reset();
    m_core->connectionClosed(m_entry.organisation);
}

void HeldConnection::run(const TargetBatch& batch, Milliseconds timeout, TargetConnection::Done done)
{
    if (m_isRunning || !m_isReusable) {
        done(makeError(ResultCode::TransactionBusy, "the connection is still running another batch, or it was discarded or has failed"));
        return;
    }
    m_isRunning = true;
    const Instant sentAt = m_core->now();
    // `done` may destroy this object, so no member is used after it.
    m_entry.connection->run(batch, timeout, [this, sentAt, steps = TargetSession::stepsOf(batch.steps), done = std::move(done)](absl::StatusOr<TargetReply> reply) {
        if (reply.ok())
            m_entry.connection->session().apply(steps, reply->answers);
        recordResult(reply.status(), sentAt);
        done(std::move(reply));
    });
}

void HeldConnection::recordResult(const absl::Status& status, Instant sentAt)
{
    m_isRunning = false;
    const ResultCode code = resultCodeOf(status);
    if (endsConnection(code)) {
        m_isReusable = false;
        if (code == ResultCode::TargetSilent)
            m_core->closeIdleUnansweredSince(sentAt);
        return;
    }
    m_entry.lastAnswerAt = m_core->now();
    m_core->markReachable();
}

}
