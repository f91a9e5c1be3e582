#include "homes/TargetHome.h"

#include "base/ResultCode.h"
#include "configuration/PolicySettings.h"
#include "statements/StatementFingerprint.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace parsleypaddle {

namespace {

    // The seed differs between daemons, so that their reconnects are spread over time after a target failed.
    ConnectionPoolSettings poolSettings(const std::string& transactionPrefix)
    {
        ConnectionPoolSettings settings;
        settings.seed = std::hash<std::string> {}(transactionPrefix);
        return settings;
    }

    // Of the steps of a transaction, only a commit makes changes durable.
    bool changesData(const HomeCall& call)
    {
        if (call.operation == HomeOperation::Settle)
            return true;
        return call.operation == HomeOperation::Write && (!call.request.transaction || isStep(call.request, TransactionStep::Commit));
    }

    TargetOperation operationOf(const HomeCall& call)
    {
        if (call.operation == HomeOperation::Read)
            return TargetOperation::Read;
        if (call.operation == HomeOperation::Settle)
            return TargetOperation::Settle;
        if (!call.request.transaction)
            return TargetOperation::Write;
        switch (call.request.transaction->step) {
        case TransactionStep::Begin:
            return TargetOperation::Begin;
        case TransactionStep::Continue:
            return TargetOperation::Continue;
        case TransactionStep::Commit:
            return TargetOperation::Commit;
        case TransactionStep::Rollback:
            break;
        }
        return TargetOperation::Rollback;
    }

}

/// The state of one call while it is queued, runs at the target or, for writes, waits for acknowledgement by the replicas.
struct TargetHome::Job {
    WorkId id;
    HomeCall call;
    Done done;
    Instant arrivedAt;
    Instant startedAt;
    bool holdsSlot { false };
    /// The group's term when the batch was sent.
    Term term;
    std::unique_ptr<PooledConnection> connection;
    std::shared_ptr<OpenTransaction> transaction;
};

TargetHome::TargetHome(EventLoop& loop, TargetConnector& connector, GroupMonitor& group, const TargetConfiguration& target, const HomeSettings& settings, std::string prefix)
    : m_loop(loop)
    , m_group(group)
    , m_target(target)
    , m_settings(settings)
    , m_admission(loop, group, target.id, m_settings)
    , m_pool(ConnectionPool::create(loop, connector, target, poolSettings(prefix)))
    , m_queue(WorkQueue::create({}))
    , m_transactions(loop, std::move(prefix), settings.transactionIdleTimeout)
{
}

TargetHome::~TargetHome() = default;

void TargetHome::setLimits(std::shared_ptr<const Configuration> configuration, TargetShare share)
{
    m_configuration = std::move(configuration);
    m_share = share;
    m_pool->setLimit(share.connections);
    WorkQueueSettings settings;
    settings.slots = share.slots;
    settings.longWorkShare = m_configuration->defaults.longWorkShare;
    settings.longWorkThreshold = m_configuration->defaults.longWork;
    settings.capacity = m_settings.queueCapacity;
    m_queue->setSettings(settings);
}

void TargetHome::execute(const HomeCall& call, Done done)
{
    auto job = std::make_shared<Job>();
    job->call = call;
    job->done = std::move(done);
    job->arrivedAt = m_loop.now();
    ++m_unansweredCalls;
    if (auto status = m_admission.check(call, m_transactions.size(), m_share); !status.ok())
        return refuse(job, status);
    if (m_admission.needsConfirmation(call))
        return confirmPrimary(job);
    enqueue(job);
}

void TargetHome::confirmPrimary(const JobPointer& job)
{
    std::weak_ptr<bool> alive = m_alive;
    const Instant limit = std::min(job->call.request.deadline, m_loop.now() + m_settings.confirmationTimeout);
    m_group.control().queryPrimaryPosition(limit, [this, alive, job](const absl::StatusOr<PrimaryPosition>& position) {
        if (alive.expired())
            return;
        if (!position.ok() || m_group.view().primary != m_target.id)
            return refuse(job, m_admission.confirmationError(job->call));
        enqueue(job);
    });
}

void TargetHome::enqueue(const JobPointer& job)
{
    const WorkItem work = workOf(job->call);
    job->id = work.id;
    const Admission admission = m_queue->offer(work, m_loop.now());
    if (!admission.status.ok()) {
        StatementAnswer refusal;
        refusal.code = resultCodeOf(admission.status);
        refusal.message = std::string(admission.status.message());
        refusal.retryAfter = admission.retryAfter;
        return answer(job, std::move(refusal));
    }
    m_queuedJobs.emplace(work.id, job);
    dispatchQueue();
}

void TargetHome::runMaintenance()
{
    abortStalledJobs();
    dispatchQueue();
    m_transactions.closeIdleTransactions();
}

bool TargetHome::isIdle() const
{
    return m_unansweredCalls == 0 && m_transactions.size() == 0;
}

WorkItem TargetHome::workOf(const HomeCall& call)
{
    WorkItem work;
    work.id = WorkId(++m_lastWorkId);
    work.organisation = call.request.organisation;
    work.workload = call.request.workload;
    work.statement = fingerprintOfText(call.request.statement);
    work.arrived = m_loop.now();
    work.deadline = call.request.deadline;
    work.organisationWeight = policyOf(call).organisationWeight;
    work.isTransactionStep = isInOpenTransaction(call);
    if (const ClassConfiguration* found = m_configuration->findClass(call.request.workload)) {
        work.urgency = found->urgency;
        work.classWeight = found->weight;
    }
    return work;
}

Policy TargetHome::policyOf(const HomeCall& call) const
{
    return resolvePolicy(*m_configuration, call.request.organisation, call.request.database, call.request.workload, m_loop.now());
}

void TargetHome::dispatchQueue()
{
    for (const auto& id : m_queue->collectShed(m_loop.now())) {
        auto node = m_queuedJobs.extract(id);
        if (node.empty())
            continue;
        const bool isLate = m_loop.now() >= node.mapped()->call.request.deadline;
        const char* reason = isLate ? "the deadline passed while the request waited for a slot" : "dropped from the queue: its deadline could not be met, or more urgent requests took its place";
        refuse(node.mapped(), makeError(isLate ? ResultCode::DeadlinePassed : ResultCode::Overloaded, reason));
    }
    while (auto id = m_queue->startNext(m_loop.now())) {
        auto node = m_queuedJobs.extract(*id);
        if (node.empty()) {
            m_queue->finish(*id, m_loop.now());
            continue;
        }
        startJob(node.mapped());
    }
}

void TargetHome::startJob(const JobPointer& job)
{
    job->startedAt = m_loop.now();
    job->holdsSlot = true;
    if (isInOpenTransaction(job->call))
        runInOpenTransaction(job);
    else
        runOnPooledConnection(job);
}

void TargetHome::runInOpenTransaction(const JobPointer& job)
{
    auto transaction = m_transactions.acquire(job->call.request.transaction->id, job->call.request.organisation);
    if (!transaction.ok())
        return refuse(job, transaction.status());
    job->transaction = *transaction;
    const bool sharesConnection = m_settings.brokenRules.isDisabled(BrokenRule::TransactionConnection);
    runBatch(job, sharesConnection ? *m_transactions.anyOpen().connection : *job->transaction->connection);
}

void TargetHome::runOnPooledConnection(const JobPointer& job)
{
    std::weak_ptr<bool> alive = m_alive;
    m_pool->acquire(job->call.request.deadline, OrganisationId(), [this, alive, job](absl::StatusOr<std::unique_ptr<PooledConnection>> connection) {
        if (alive.expired())
            return;
        if (!connection.ok())
            return refuse(job, connection.status());
        job->connection = std::move(*connection);
        runBatch(job, *job->connection);
    });
}

void TargetHome::runBatch(const JobPointer& job, PooledConnection& connection)
{
    std::weak_ptr<bool> alive = m_alive;
    job->term = m_group.view().term;
    m_runningJobs[job->id] = job;
    connection.run(batchOf(job->call), timeoutOf(*job), [this, alive, job](absl::StatusOr<TargetReply> reply) {
        if (!alive.expired() && m_runningJobs.erase(job->id) > 0)
            finishBatch(job, std::move(reply));
    });
}

TargetBatch TargetHome::batchOf(const HomeCall& call) const
{
    TargetBatch batch;
    batch.operation = operationOf(call);
    batch.statement = call.request.statement;
    batch.ledgerKey = { call.request.organisation, call.request.id, fingerprintOf(call.request.statement) };
    if (call.operation == HomeOperation::Read) {
        batch.term = call.minimumTerm;
        batch.minimumPosition = m_settings.brokenRules.isDisabled(BrokenRule::SessionPosition) ? LogPosition() : call.minimumPosition;
        batch.greatestAge = call.greatestAge;
        return batch;
    }
    batch.term = m_group.view().term;
    if (m_settings.brokenRules.isDisabled(BrokenRule::Ledger))
        batch.ledgerKey.request = RequestId(absl::StrCat(call.request.id.value(), "-", m_lastWorkId));
    return batch;
}

Milliseconds TargetHome::timeoutOf(const Job& job) const
{
    const Milliseconds remaining = job.call.request.deadline - m_loop.now();
    return std::max(Milliseconds(1), std::min(remaining * m_settings.answerTimeoutShare, m_settings.answerTimeout));
}

void TargetHome::finishBatch(const JobPointer& job, absl::StatusOr<TargetReply> reply)
{
    if (m_observer)
        m_observer(job->call, { job->startedAt - job->arrivedAt, m_loop.now() - job->startedAt, resultCodeOf(reply.status()) });
    updateTransaction(job, reply);
    job->connection.reset();
    if (reply.ok())
        processReply(job, std::move(*reply));
    else
        refuse(job, reply.status());
}

// Aborts jobs whose answer is unlikely to come: all jobs if new connections to the target fail or time out, and jobs other
// than reads if the group's term increased since their batch was sent, because another target may be the primary now. The
// caller can then continue at another target, where the ledger of executed requests shows whether a write already ran.
void TargetHome::abortStalledJobs()
{
    const TargetView* targetView = m_group.view().find(m_target.id);
    const bool isSuspect = targetView && targetView->isSuspect;
    std::vector<JobPointer> stalled;
    for (const auto& [id, job] : m_runningJobs) {
        const bool isRead = job->call.operation == HomeOperation::Read;
        if (isSuspect || (!isRead && job->term < m_group.view().term))
            stalled.push_back(job);
    }
    for (const auto& it : stalled) {
        m_runningJobs.erase(it->id);
        if (it->connection)
            it->connection->discard();
        finishBatch(it, makeError(ResultCode::ConnectionLost, absl::StrCat(m_target.id.value(), " sent no answer before it became unreachable or the group's term changed")));
    }
}

// An open transaction keeps its connection. When it ends, the connection returns to the pool; after an error it is closed
// instead, because the state of the transaction at the target is unknown.
void TargetHome::updateTransaction(const JobPointer& job, const absl::StatusOr<TargetReply>& reply)
{
    if (!job->call.request.transaction || job->call.operation != HomeOperation::Write)
        return;
    if (isStep(job->call.request, TransactionStep::Begin)) {
        if (reply.ok())
            job->transaction = m_transactions.open(job->call.request.organisation, m_group.view().term, std::move(job->connection));
        else
            job->connection->discard();
    }
    if (!job->transaction)
        return;
    const bool staysOpenOnSuccess = isStep(job->call.request, TransactionStep::Begin) || isStep(job->call.request, TransactionStep::Continue);
    if (reply.ok() && staysOpenOnSuccess) {
        m_transactions.release(*job->transaction);
        return;
    }
    if (!reply.ok())
        job->transaction->connection->discard();
    m_transactions.close(job->transaction->id);
    job->transaction->connection.reset();
}

void TargetHome::processReply(const JobPointer& job, TargetReply reply)
{
    StatementAnswer result;
    result.code = reply.ranBefore ? ResultCode::DoneEarlier : ResultCode::Done;
    result.target = m_target.id;
    result.age = reply.status.age;
    result.rows = std::move(reply.rows);
    if (job->transaction)
        result.transaction = job->transaction->id;
    if (job->call.operation == HomeOperation::Settle && !reply.ranBefore) {
        result.code = ResultCode::RequestSettled;
        result.message = "the request had not run; the target has recorded that it must not run later";
    }
    if (changesData(job->call))
        awaitAcknowledgement(job, reply, std::move(result));
    else
        answer(job, std::move(result), reply.status.term, reply.status.applied);
}

void TargetHome::awaitAcknowledgement(const JobPointer& job, const TargetReply& reply, StatementAnswer result)
{
    const Term term = reply.status.term;
    const LogPosition position = reply.status.position;
    releaseSlot(job);
    if (m_settings.brokenRules.isDisabled(BrokenRule::Confirmation))
        return answer(job, std::move(result), term, position);
    std::weak_ptr<bool> alive = m_alive;
    const AckRule rule = policyOf(job->call).acknowledge;
    m_group.control().confirm(term, position, rule, job->call.request.deadline, [this, alive, job, result, term, position](absl::StatusOr<AckLevel> level) mutable {
        if (alive.expired())
            return;
        if (!level.ok()) {
            result.code = ResultCode::NotConfirmed;
            result.message = std::string(level.status().message());
            result.ackLevel = m_group.control().ackLevelAt(term, position);
            return answer(job, std::move(result));
        }
        result.ackLevel = *level;
        answer(job, std::move(result), term, position);
    });
}

void TargetHome::releaseSlot(const JobPointer& job)
{
    if (!job->holdsSlot)
        return;
    job->holdsSlot = false;
    m_queue->finish(job->id, m_loop.now());
    std::weak_ptr<bool> alive = m_alive;
    m_loop.after(Milliseconds(0), [this, alive] {
        if (!alive.expired())
            dispatchQueue();
    });
}

void TargetHome::answer(const JobPointer& job, StatementAnswer result, Term term, LogPosition position)
{
    releaseSlot(job);
    --m_unansweredCalls;
    result.id = job->call.request.id;
    HomeReply reply;
    reply.answer = std::move(result);
    reply.term = term;
    reply.position = position;
    reply.view = m_group.view();
    Done done;
    std::swap(done, job->done);
    done(std::move(reply));
}

void TargetHome::refuse(const JobPointer& job, const absl::Status& status)
{
    StatementAnswer refusal;
    refusal.code = resultCodeOf(status);
    refusal.message = std::string(status.message());
    answer(job, std::move(refusal));
}

}
