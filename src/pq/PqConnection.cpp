#include "pq/PqConnection.h"

#include "pq/ResultRows.h"
#include "pq/ServerError.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace parsleypaddle {

namespace {

    bool continuesTransaction(TargetOperation operation)
    {
        return operation == TargetOperation::Continue || operation == TargetOperation::Commit || operation == TargetOperation::Rollback;
    }

    bool leavesTransactionOpen(TargetOperation operation)
    {
        return operation == TargetOperation::Begin || operation == TargetOperation::Continue;
    }

    bool needsPrimaryAfterwards(TargetOperation operation)
    {
        return operation == TargetOperation::Write || operation == TargetOperation::Commit || operation == TargetOperation::Settle;
    }

    /// libpq passes texts that end at their first zero byte.
    bool hasZeroByte(const SqlStatement& statement)
    {
        const auto isCut = [](const std::string& text) { return text.find('\0') != std::string::npos; };
        return isCut(statement.text) || std::any_of(statement.parameters.begin(), statement.parameters.end(), [&](const SqlValue& it) { return it && isCut(*it); });
    }

    bool sendStep(PGconn* connection, const PipelineStep& step)
    {
        const auto& parameters = step.statement.parameters;
        std::vector<const char*> values;
        values.reserve(parameters.size());
        for (const auto& it : parameters)
            values.push_back(it ? it->c_str() : nullptr);
        const int count = static_cast<int>(values.size());
        if (*step.preparedName)
            return PQsendQueryPrepared(connection, step.preparedName, count, values.data(), nullptr, nullptr, 0) == 1;
        return PQsendQueryParams(connection, step.statement.text.c_str(), count, nullptr, values.data(), nullptr, nullptr, 0) == 1;
    }

    /// Whether the caller's own statement opened or ended a transaction, or dropped what this connection has prepared, by
    /// the tag that the server gave it.
    bool interferes(const PGresult* result)
    {
        constexpr std::array<std::string_view, 10> tags { "BEGIN", "START TRANSACTION", "COMMIT", "ROLLBACK", "SAVEPOINT", "RELEASE", "PREPARE TRANSACTION",
            "DEALLOCATE", "DEALLOCATE ALL", "DISCARD ALL" };
        const std::string_view tag = PQcmdStatus(const_cast<PGresult*>(result));
        return std::find(tags.begin(), tags.end(), tag) != tags.end();
    }

}

std::unique_ptr<TargetConnection> PqConnection::create(PollLoop& loop, std::string name, PqHandle handle, std::unique_ptr<WatchedSocket> socket)
{
    std::unique_ptr<PqConnection> connection(new PqConnection(loop, std::move(name), std::move(handle), std::move(socket)));
    connection->m_socket->watch(Readiness::Read, [raw = connection.get()](Readiness readiness) { raw->ready(readiness); });
    return connection;
}

PqConnection::PqConnection(PollLoop& loop, std::string name, PqHandle handle, std::unique_ptr<WatchedSocket> socket)
    : m_loop(loop)
    , m_name(std::move(name))
    , m_handle(std::move(handle))
    , m_socket(std::move(socket))
{
}

PqConnection::~PqConnection()
{
    m_loop.cancel(m_timer);
}

void PqConnection::run(const TargetBatch& batch, Milliseconds timeout, Done done)
{
    assert(!m_done);
    m_done = std::move(done);
    if (auto status = checkRunnable(batch); !status.ok()) {
        answerLater(std::move(status));
        return;
    }
    m_operation = batch.operation;
    if (!continuesTransaction(batch.operation))
        m_term = batch.term;
    TargetBatch sent = batch;
    sent.term = m_term;
    m_reply = {};
    m_error = absl::OkStatus();
    m_hasStatus = false;
    m_isCommitted = false;
    m_isInDoubt = false;
    m_phase = Phase::Running;
    m_timer = m_loop.after(timeout, [this] { lose(ResultCode::TargetSilent, "did not answer in time"); });
    if (send(pipelineOf(sent)) && flush())
        return;
    m_loop.cancel(m_timer);
    m_phase = Phase::Dead;
    answerLater(makeError(ResultCode::ConnectionLost, m_name + ": the batch could not be sent whole"));
}

absl::Status PqConnection::checkRunnable(const TargetBatch& batch) const
{
    if (m_phase == Phase::Dead)
        return makeError(ResultCode::ConnectionLost, m_name + ": the connection was lost earlier");
    const bool isOpen = PQtransactionStatus(m_handle.get()) == PQTRANS_INTRANS;
    if (isOpen && !continuesTransaction(batch.operation))
        return makeError(ResultCode::StatementFailed, "a transaction is already open on this connection");
    if (!isOpen && continuesTransaction(batch.operation) && batch.operation != TargetOperation::Rollback)
        return makeError(ResultCode::TransactionUnknown, "no transaction is open on this connection");
    if (hasZeroByte(batch.statement) || hasZeroByte({ batch.ledgerKey.organisation.value(), { batch.ledgerKey.request.value() } }))
        return makeError(ResultCode::StatementFailed, "a text holds a zero byte");
    return absl::OkStatus();
}

// Callers may rely on run() returning before they are called back.
void PqConnection::answerLater(absl::Status status)
{
    m_timer = m_loop.after(Milliseconds(0), [this, status] { answer(status); });
}

// A text is prepared right before its first use: in a failed transaction the server prepares nothing until the rollback.
bool PqConnection::send(const std::vector<PipelineStep>& steps)
{
    m_steps.clear();
    m_nextStep = 0;
    for (const auto& it : steps) {
        if (*it.preparedName && m_prepared.count(it.preparedName) == 0) {
            if (PQsendPrepare(m_handle.get(), it.preparedName, it.statement.text.c_str(), 0, nullptr) != 1)
                return false;
            m_steps.push_back({ StepKind::Prepare, it.preparedName });
        }
        if (!sendStep(m_handle.get(), it))
            return false;
        m_steps.push_back({ it.kind, it.preparedName });
    }
    return PQpipelineSync(m_handle.get()) == 1;
}

bool PqConnection::flush()
{
    const int rest = PQflush(m_handle.get());
    if (rest < 0)
        return false;
    m_socket->setInterest(rest > 0 ? Readiness::Read | Readiness::Write : Readiness::Read);
    return true;
}

void PqConnection::ready(Readiness readiness)
{
    if (PQconsumeInput(m_handle.get()) == 0 || (has(readiness, Readiness::Write) && !flush())) {
        lose(ResultCode::ConnectionLost, "the connection was lost");
        return;
    }
    if (m_phase != Phase::Idle && takeResults())
        finish();
}

/// Returns whether the batch has ended and its answer is complete.
bool PqConnection::takeResults()
{
    while (!PQisBusy(m_handle.get())) {
        const PqResult result(PQgetResult(m_handle.get()));
        if (PQstatus(m_handle.get()) == CONNECTION_BAD) {
            m_isInDoubt = true;
            return true;
        }
        // A null result stands between the results of two statements.
        if (!result)
            continue;
        if (PQresultStatus(result.get()) != PGRES_PIPELINE_SYNC)
            takeResult(result.get());
        else if (endPipeline())
            return true;
    }
    return false;
}

void PqConnection::takeResult(const PGresult* result)
{
    if (m_nextStep >= m_steps.size()) {
        m_isInDoubt = true;
        return;
    }
    const SentStep step = m_steps[m_nextStep++];
    switch (PQresultStatus(result)) {
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
        takeSuccess(step, result);
        break;
    case PGRES_FATAL_ERROR:
        takeError(result);
        break;
    case PGRES_PIPELINE_ABORTED:
        break;
    default:
        m_isInDoubt = true;
    }
}

void PqConnection::takeError(const PGresult* result)
{
    m_isInDoubt = m_isInDoubt || endsConnection(result) || m_isCommitted || m_phase == Phase::Recovering;
    if (isRanBefore(result))
        m_reply.ranBefore = true;
    else
        m_error = errorOf(result);
}

void PqConnection::takeSuccess(const SentStep& step, const PGresult* result)
{
    switch (step.kind) {
    case StepKind::Prepare:
        m_prepared.insert(step.preparedName);
        break;
    case StepKind::Check:
        break;
    case StepKind::Commit:
        m_isCommitted = true;
        break;
    case StepKind::Statement:
        m_isInDoubt = m_isInDoubt || interferes(result);
        m_reply.rows = rowsOf(result);
        break;
    case StepKind::Settle:
        m_reply.ranBefore = isTrue(result);
        break;
    case StepKind::Status:
        if (auto status = statusOf(result)) {
            m_reply.status = *status;
            m_hasStatus = true;
        }
    }
}

/// Returns whether the answer is complete; otherwise a failed transaction is being rolled back first.
bool PqConnection::endPipeline()
{
    const auto state = PQtransactionStatus(m_handle.get());
    const bool hasFailed = !m_error.ok() || !m_hasStatus;
    if (m_isInDoubt || m_phase == Phase::Recovering || !hasFailed || state == PQTRANS_IDLE)
        return true;
    m_phase = Phase::Recovering;
    if (send(recoveryPipeline()) && flush())
        return false;
    m_isInDoubt = true;
    return true;
}

bool PqConnection::isReplyConsistent() const
{
    const bool isOpen = PQtransactionStatus(m_handle.get()) == PQTRANS_INTRANS;
    const bool shouldBeOpen = m_error.ok() && !m_reply.ranBefore && leavesTransactionOpen(m_operation);
    if (m_isInDoubt || isOpen != shouldBeOpen || (m_error.ok() && !m_hasStatus))
        return false;
    if (!m_error.ok() || !needsPrimaryAfterwards(m_operation))
        return true;
    // The status follows the commit. Had a change of primary come between, its position would belong to another log.
    return m_reply.status.role == TargetRole::Primary && m_reply.status.term == m_term;
}

void PqConnection::finish()
{
    if (!isReplyConsistent()) {
        lose(ResultCode::ConnectionLost, "the state after the batch is in doubt");
        return;
    }
    m_phase = Phase::Idle;
    if (!m_error.ok())
        answer(m_error);
    else
        answer(std::move(m_reply));
}

void PqConnection::lose(ResultCode code, const std::string& reason)
{
    m_phase = Phase::Dead;
    m_socket.reset();
    m_handle.reset();
    if (m_done)
        answer(makeError(code, m_name + ": " + reason));
}

// The callback may destroy this connection, so nothing may follow it.
void PqConnection::answer(absl::StatusOr<TargetReply> reply)
{
    m_loop.cancel(m_timer);
    m_timer = TimerId::None;
    Done done;
    std::swap(done, m_done);
    done(std::move(reply));
}

}
