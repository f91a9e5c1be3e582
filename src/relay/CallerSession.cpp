#include "relay/CallerSession.h"

#include "relay/RelayTransaction.h"

#include <algorithm>
#include <array>
#include <utility>

namespace parsleypaddle {

namespace {

    /// Maximum number of statements that a session queues while one is running; a caller that sends more is disconnected. The
    /// protocol does not require callers to send a statement before the previous one is answered.
    constexpr size_t maxQueuedStatements = 64;

}

std::shared_ptr<CallerSession> CallerSession::create(Relay& relay, DatabaseId database, CallerKey key, CallerKind kind, CallerPort& port)
{
    std::shared_ptr<CallerSession> session(new CallerSession(relay, std::move(database), std::move(key), kind, port));
    relay.addSession(session);
    return session;
}

CallerSession::CallerSession(Relay& relay, DatabaseId database, CallerKey key, CallerKind kind, CallerPort& port)
    : m_relay(relay)
    , m_database(std::move(database))
    , m_key(std::move(key))
    , m_kind(kind)
    , m_port(&port)
    , m_lastUsed(relay.now())
{
}

void CallerSession::runOrQueue(RelayStep step)
{
    m_lastUsed = m_relay.now();
    if (!m_isRunning)
        return dispatch(step);
    if (m_waiting.size() >= maxQueuedStatements)
        return close();
    m_waiting.push_back(std::move(step));
}

void CallerSession::dispatch(const RelayStep& step)
{
    static constexpr std::array<std::pair<RelayKind, Handler>, 12> handlers { {
        { RelayKind::Begin, &CallerSession::begin },
        { RelayKind::BeginRead, &CallerSession::begin },
        { RelayKind::Commit, &CallerSession::commit },
        { RelayKind::Rollback, &CallerSession::rollBack },
        { RelayKind::Read, &CallerSession::runStatement },
        { RelayKind::Write, &CallerSession::runStatement },
        { RelayKind::Execute, &CallerSession::execute },
        { RelayKind::SetValue, &CallerSession::setValue },
        { RelayKind::Prepare, &CallerSession::prepare },
        { RelayKind::Deallocate, &CallerSession::deallocate },
        { RelayKind::Reset, &CallerSession::reset },
        { RelayKind::TooLong, &CallerSession::rejectTooLong },
    } };
    m_isRunning = true;
    if (step.requiredMark)
        m_requiredMark = step.requiredMark;
    const bool endsTransaction = step.kind == RelayKind::Commit || step.kind == RelayKind::Rollback;
    if (!m_abortReason.empty() && !endsTransaction) {
        const std::string why = std::exchange(m_abortReason, {});
        return reject(RelayError::Aborted, why);
    }
    if (m_state == TransactionState::Failed && !endsTransaction)
        return reject(RelayError::Malformed, "the transaction has failed and accepts only a commit or a rollback");
    for (const auto& [kind, handler] : handlers) {
        if (kind == step.kind)
            return (this->*handler)(step);
    }
    rejectUnknown(step);
}

void CallerSession::dispatchNextWaiting()
{
    if (m_isRunning || m_waiting.empty() || !m_port)
        return;
    const RelayStep step = std::move(m_waiting.front());
    m_waiting.pop_front();
    dispatch(step);
}

// BEGIN is sent to a target only when the transaction's first statement arrives. The target is chosen then.
void CallerSession::begin(const RelayStep& step)
{
    if (m_state != TransactionState::Idle)
        return reject(RelayError::Malformed, "a transaction is already open");
    m_transactionRoute = currentRoute();
    if (!m_transactionRoute)
        return rejectDatabase();
    // A forwarded transaction is identified with its first statement.
    if (m_kind == CallerKind::Caller) {
        RelayJob job;
        job.step = step;
        job.route = m_transactionRoute;
        job.arrived = m_relay.now();
        job.sessionState = m_sessionState;
        job.beginKind = step.kind;
        if (const StatementIdentity identity = identify(std::nullopt, *job.route); identity.error != RelayError::None)
            return refuseIdentity(job, identity);
    }
    m_pendingBegin = step.kind;
    m_state = TransactionState::Open;
    replySuccess();
}

void CallerSession::commit(const RelayStep& step)
{
    if (m_state == TransactionState::Idle)
        return reject(RelayError::Malformed, "no transaction is open");
    if (m_state == TransactionState::Failed || !m_abortReason.empty()) {
        m_state = TransactionState::Idle;
        const std::string why = std::exchange(m_abortReason, {});
        return reject(RelayError::Aborted, why.empty() ? "the transaction failed earlier and was rolled back" : why);
    }
    RelayJob job;
    job.step = step;
    send(std::move(job));
}

void CallerSession::rollBack(const RelayStep&)
{
    if (m_state == TransactionState::Idle)
        return reject(RelayError::Malformed, "no transaction is open");
    dropTransaction();
    m_abortReason.clear();
    m_state = TransactionState::Idle;
    replySuccess();
}

void CallerSession::runStatement(const RelayStep& step)
{
    RelayJob job;
    job.step = step;
    job.isWrite = step.kind == RelayKind::Write;
    send(std::move(job));
}

void CallerSession::execute(const RelayStep& step)
{
    auto it = m_sessionState->prepared.find(step.name);
    if (it == m_sessionState->prepared.end())
        return reject(RelayError::UnknownStatement, step.name);
    RelayJob job;
    job.step = step;
    job.definition = it->second.definition;
    job.isWrite = it->second.isWrite;
    send(std::move(job));
}

void CallerSession::setValue(const RelayStep& step)
{
    mutableSessionState().values[step.name] = step.argument;
    replySuccess();
}

void CallerSession::prepare(const RelayStep& step)
{
    mutableSessionState().prepared[step.name] = { step.argument, step.isWrite };
    replySuccess();
}

void CallerSession::deallocate(const RelayStep& step)
{
    if (m_sessionState->prepared.count(step.name) == 0)
        return reject(RelayError::UnknownStatement, step.name);
    mutableSessionState().prepared.erase(step.name);
    replySuccess();
}

// Only peer daemons may reset a session, because they use one session for several callers in turn.
void CallerSession::reset(const RelayStep& step)
{
    if (m_kind != CallerKind::Peer || m_state != TransactionState::Idle)
        return rejectUnknown(step);
    m_sessionState = std::make_shared<CallerSessionState>();
    replySuccess();
}

void CallerSession::rejectTooLong(const RelayStep&)
{
    reject(RelayError::Malformed, "the statement is longer than 1 MiB");
}

void CallerSession::rejectUnknown(const RelayStep&)
{
    reject(RelayError::Malformed, "unknown statement");
}

void CallerSession::rejectDatabase()
{
    const RelayAnswer answer = m_relay.refuseDatabase(m_database);
    reject(answer.error, answer.errorText);
}

// Copies the state, because running statements share the state with which they were sent.
CallerSessionState& CallerSession::mutableSessionState()
{
    auto state = std::make_shared<CallerSessionState>(*m_sessionState);
    CallerSessionState& changed = *state;
    m_sessionState = std::move(state);
    return changed;
}

std::shared_ptr<const Route> CallerSession::currentRoute() const
{
    return m_relay.routeOf(m_database);
}

void CallerSession::send(RelayJob job)
{
    job.route = m_state == TransactionState::Open ? m_transactionRoute : currentRoute();
    if (!job.route)
        return rejectDatabase();
    job.sessionState = m_sessionState;
    job.lastCommit = m_commits.lastIn(job.route->group);
    job.isForwarded = m_kind == CallerKind::Peer;
    if (m_state == TransactionState::Open && !m_transaction)
        job.beginKind = m_pendingBegin;
    job.step.requiredMark.reset();
    if (const auto requiredMark = std::exchange(m_requiredMark, std::nullopt); requiredMark && job.isForwarded)
        job.lastCommit = requiredMark;
    job.arrived = m_relay.now();
    const auto forwardedFor = std::exchange(job.step.forwardedFor, std::nullopt);
    // Waiting beyond the time-out makes no difference, and bounds what a wrong value can do.
    if (forwardedFor && job.isForwarded)
        job.arrived = job.arrived - std::max(Milliseconds(0), std::min(forwardedFor->waited, job.route->statementTimeout));
    StatementIdentity identity = identify(forwardedFor, *job.route);
    job.caller = identity.caller;
    job.organisation = identity.organisation;
    job.hasOrganisations = identity.hasOrganisations;
    if (identity.error != RelayError::None)
        return refuseIdentity(job, identity);
    if (m_transaction)
        return sendAdmitted(std::move(job));
    m_transactionIdentity = std::move(identity);
    const bool isOperation = m_kind == CallerKind::Caller && !job.organisation.isEmpty();
    if (m_relay.quota() && isOperation)
        return askQuota(std::move(job));
    sendAdmitted(std::move(job));
}

void CallerSession::sendAdmitted(RelayJob job)
{
    job.requester = weak_from_this();
    job.done = [weak = weak_from_this(), route = job.route, endsTransaction = job.step.kind == RelayKind::Commit](RelayResult result) {
        auto self = weak.lock();
        if (self)
            self->statementFinished(*route, std::move(result), endsTransaction);
        else if (result.transaction)
            result.transaction->rollBack();
    };
    if (m_transaction)
        return m_transaction->run(std::move(job));
    m_pendingBegin.reset();
    m_relay.run(std::move(job));
}

void CallerSession::statementFinished(const Route& route, RelayResult result, bool endsTransaction)
{
    if (result.transaction)
        m_transaction = std::move(result.transaction);
    // The session of a peer serves several callers in turn; the peer itself keeps each caller's last commit.
    if (result.committed && m_kind == CallerKind::Caller)
        m_commits.add(route.group, *result.committed);
    if (endsTransaction) {
        m_transaction.reset();
        m_state = TransactionState::Idle;
    } else if (m_state == TransactionState::Open && result.answer.error != RelayError::None) {
        m_transaction.reset();
        m_state = TransactionState::Failed;
    }
    reply(std::move(result.answer));
}

void CallerSession::replySuccess()
{
    reply({});
}

void CallerSession::reject(RelayError error, std::string_view why)
{
    if (m_state == TransactionState::Open) {
        dropTransaction();
        m_state = TransactionState::Failed;
    }
    RelayAnswer answer;
    answer.error = error;
    answer.errorText = std::string(why);
    reply(std::move(answer));
}

void CallerSession::reply(RelayAnswer answer)
{
    // A caller that does not read its answers is disconnected when the next one is sent.
    const auto self = shared_from_this();
    m_isRunning = false;
    m_lastUsed = m_relay.now();
    answer.state = m_state;
    if (m_port)
        m_port->answer(answer);
    if (m_isKeyWithdrawn)
        return endUnauthorized();
    if (const std::string why = std::exchange(m_pendingAbortReason, {}); !why.empty())
        endTransaction(why);
    dispatchNextWaiting();
    closeIfEnded();
}

void CallerSession::detach()
{
    m_port = nullptr;
    m_waiting.clear();
    m_relay.removeSession(*this);
    // A running statement needs its transaction until it is answered.
    if (m_isRunning)
        return;
    dropTransaction();
    m_state = TransactionState::Idle;
}

void CallerSession::dropTransaction()
{
    if (auto transaction = std::exchange(m_transaction, nullptr))
        transaction->rollBack();
    m_pendingBegin.reset();
}

void CallerSession::endIdleTransaction()
{
    const bool isIdleInTransaction = m_transaction && !m_isRunning;
    if (isIdleInTransaction && m_relay.now() - m_lastUsed > m_relay.transactionIdleTimeout())
        endTransaction("the transaction was rolled back after the idle time limit");
}

void CallerSession::endTransaction(std::string_view why)
{
    if (m_state != TransactionState::Open)
        return;
    // A running statement is answered normally.
    if (m_isRunning) {
        m_pendingAbortReason = std::string(why);
        return;
    }
    dropTransaction();
    m_abortReason = std::string(why);
    m_state = TransactionState::Failed;
}

void CallerSession::close()
{
    if (m_port)
        m_port->close();
}

void CallerSession::closeAfter(SessionEnd end)
{
    m_end = end;
    closeIfEnded();
}

void CallerSession::closeIfEnded()
{
    const bool isOver = m_end == SessionEnd::AfterStatement || (m_end == SessionEnd::AfterOperation && m_state == TransactionState::Idle);
    if (m_port && isOver)
        m_port->closeIfAnswered();
}

}
