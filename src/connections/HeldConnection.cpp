#include "connections/HeldConnection.h"

#include "base/ResultCode.h"

namespace parsleypaddle {

HeldConnection::HeldConnection(std::shared_ptr<PoolCore> core, PoolCore::Entry entry)
    : m_core(std::move(core))
    , m_entry(std::move(entry))
{
}

// A connection whose batch is still under way would give its answer to the next holder, so it is closed.
HeldConnection::~HeldConnection()
{
    if (m_isReusable && !m_isRunning) {
        m_core->giveBack(std::move(m_entry));
        return;
    }
    m_entry.connection.reset();
    m_core->dropped();
}

void HeldConnection::run(const TargetBatch& batch, Milliseconds timeout, TargetConnection::Done done)
{
    if (m_isRunning || !m_isReusable) {
        done(makeError(ResultCode::TransactionBusy, "the connection is not free"));
        return;
    }
    m_isRunning = true;
    const Instant sentAt = m_core->now();
    // The last call may destroy this object, so nothing follows it.
    m_entry.connection->run(batch, timeout, [this, sentAt, done = std::move(done)](absl::StatusOr<TargetReply> reply) {
        ended(reply.status(), sentAt);
        done(std::move(reply));
    });
}

void HeldConnection::ended(const absl::Status& status, Instant sentAt)
{
    m_isRunning = false;
    const ResultCode code = resultCodeOf(status);
    if (code == ResultCode::TargetSilent || code == ResultCode::ConnectionLost || code == ResultCode::OutcomeUnknown) {
        m_isReusable = false;
        if (code == ResultCode::TargetSilent)
            m_core->wentSilent(sentAt);
        return;
    }
    m_entry.lastHeard = m_core->now();
    m_core->heard();
}

}
