#include "homes/TargetHome.h"

#include "base/ResultCode.h"
#include "configuration/PolicySettings.h"
#include "statements/StatementFingerprint.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace parsleypaddle {

namespace {

    // Daemons that lost a target together reconnect apart.
    ConnectionPoolSettings poolSettings(const std::string& transactionPrefix)
    {
        ConnectionPoolSettings settings;
        settings.seed = std::hash<std::string> {}(transactionPrefix);
        return settings;
    }

    // A commit's answer counts as a write's; the other steps change nothing that lasts.
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

/// One call on its way through the queue, a connection and, for writes, confirmation.
struct TargetHome::Job {
    WorkId id;
    HomeCall call;
    Done done;
    Instant arrivedAt;
    Instant startedAt;
    bool holdsSlot { false };
    /// Term under which the batch was sent.
    Term term;
    std::unique_ptr<PooledConnection> connection;
    std::shared_ptr<OpenTransaction> transaction;
};

TargetHome::TargetHome(EventLoop& loop, TargetConnector& connector, GroupHome& group, const TargetConfiguration& target, const HomeSettings& settings, std::string prefix)
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
    settings.longWork = m_configuration->defaults.longWork;
    settings.capacity = m_settings.queueCapacity;
    m_queue->setSettings(settings);
}

void TargetHome::handle(const HomeCall& call, Done done)
{
    auto job = std::make_shared<Job>();
    job->call = call;
    job->done = std::move(done);
    job->arrivedAt = m_loop.now();
    ++m_underWay;
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
    m_group.control().askPrimaryPosition(limit, [this, alive, job](const absl::StatusOr<PrimaryPosition>& position) {
        if (alive.expired())
            return;
        if (!position.ok() || m_group.view().primary != m_target.id)
            return refuse(job, m_admission.confirmationError(job->call));
        enqueue(job);
    });
}

void TargetHome::enqueue(const JobPointer& job)
{
    const Work work = workOf(job->call);
    job->id = work.id;
    const Admission admission = m_queue->offer(work, m_loop.now());
    if (!admission.status.ok()) {
        StatementAnswer refusal;
        refusal.code = resultCodeOf(admission.status);
        refusal.message = std::string(admission.status.message());
        refusal.retryAfter = admission.retryAfter;
        return answer(job, std::move(refusal));
    }
    m_waiting.emplace(work.id, job);
    pump();
}

void TargetHome::tidy()
{
    abandonStranded();
    pump();
    m_transactions.closeIdleTransactions();
}

bool TargetHome::isIdle() const
{
    return m_underWay == 0 && m_transactions.size() == 0;
}

Work TargetHome::workOf(const HomeCall& call)
{
    Work work;
    work.id = WorkId(++m_lastWork);
    work.shop = call.request.shop;
    work.workload = call.request.workload;
    work.statement = fingerprintOfText(call.request.statement);
    work.arrived = m_loop.now();
    work.deadline = call.request.deadline;
    work.shopWeight = policyOf(call).shopWeight;
    work.isContinuation = isPinned(call);
    if (const ClassConfiguration* found = m_configuration->findClass(call.request.workload)) {
        work.urgency = found->urgency;
        work.classWeight = found->weight;
    }
    return work;
}

Policy TargetHome::policyOf(const HomeCall& call) const
{
    return resolvePolicy(*m_configuration, call.request.shop, call.request.database, call.request.workload, m_loop.now());
}

void TargetHome::pump()
{
    for (const auto& id : m_queue->takeShed(m_loop.now())) {
        auto node = m_waiting.extract(id);
        if (node.empty())
            continue;
        const bool isLate = m_loop.now() >= node.mapped()->call.request.deadline;
        const char* why = isLate ? "the deadline passed while the request waited for a slot" : "shed for more urgent work";
        refuse(node.mapped(), makeError(isLate ? ResultCode::DeadlinePassed : ResultCode::Overloaded, why));
    }
    while (auto id = m_queue->start(m_loop.now())) {
        auto node = m_waiting.extract(*id);
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
    if (isPinned(job->call))
        runPinned(job);
    else
        runPooled(job);
}

void TargetHome::runPinned(const JobPointer& job)
{
    auto transaction = m_transactions.acquire(job->call.request.transaction->id, job->call.request.shop);
    if (!transaction.ok())
        return refuse(job, transaction.status());
    job->transaction = *transaction;
    const bool sharesConnection = m_settings.brokenRules.has(BrokenRule::TransactionConnection);
    runBatch(job, sharesConnection ? *m_transactions.anyOpen().connection : *job->transaction->connection);
}

void TargetHome::runPooled(const JobPointer& job)
{
    std::weak_ptr<bool> alive = m_alive;
    m_pool->acquire(job->call.request.deadline, [this, alive, job](absl::StatusOr<std::unique_ptr<PooledConnection>> connection) {
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
    m_atTarget[job->id] = job;
    connection.run(batchOf(job->call), timeoutOf(*job), [this, alive, job](absl::StatusOr<TargetReply> reply) {
        if (!alive.expired() && m_atTarget.erase(job->id) > 0)
            finishBatch(job, std::move(reply));
    });
}

TargetBatch TargetHome::batchOf(const HomeCall& call) const
{
    TargetBatch batch;
    batch.operation = operationOf(call);
    batch.statement = call.request.statement;
    batch.ledgerKey = { call.request.shop, call.request.id, fingerprintOf(call.request.statement) };
    if (call.operation == HomeOperation::Read) {
        batch.term = call.minimumTerm;
        batch.minimumPosition = m_settings.brokenRules.has(BrokenRule::SessionPosition) ? LogPosition() : call.minimumPosition;
        batch.greatestAge = call.greatestAge;
        return batch;
    }
    batch.term = m_group.view().term;
    if (m_settings.brokenRules.has(BrokenRule::Ledger))
        batch.ledgerKey.request = RequestId(absl::StrCat(call.request.id.value(), "-", m_lastWork));
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
    keepTransaction(job, reply);
    job->connection.reset();
    if (reply.ok())
        succeed(job, std::move(*reply));
    else
        refuse(job, reply.status());
}

// Work at a target that went silent need not wait out its answer: it goes elsewhere once new connections fail too, or
// once another primary has a later term. Whether a write ran is settled there.
void TargetHome::abandonStranded()
{
    const TargetView* seen = m_group.view().find(m_target.id);
    const bool isSuspect = seen && seen->isSuspect;
    std::vector<JobPointer> stranded;
    for (const auto& [id, job] : m_atTarget) {
        const bool isRead = job->call.operation == HomeOperation::Read;
        if (isSuspect || (!isRead && job->term < m_group.view().term))
            stranded.push_back(job);
    }
    for (const auto& it : stranded) {
        m_atTarget.erase(it->id);
        if (it->connection)
            it->connection->discard();
        finishBatch(it, makeError(ResultCode::ConnectionLost, absl::StrCat(m_target.id.value(), " went silent")));
    }
}

// A transaction that goes on keeps its connection; one that ended gives it back, or closes it when in doubt.
void TargetHome::keepTransaction(const JobPointer& job, const absl::StatusOr<TargetReply>& reply)
{
    if (!job->call.request.transaction || job->call.operation != HomeOperation::Write)
        return;
    if (isStep(job->call.request, TransactionStep::Begin)) {
        if (reply.ok())
            job->transaction = m_transactions.open(job->call.request.shop, m_group.view().term, std::move(job->connection));
        else
            job->connection->discard();
    }
    if (!job->transaction)
        return;
    const bool goesOn = isStep(job->call.request, TransactionStep::Begin) || isStep(job->call.request, TransactionStep::Continue);
    if (reply.ok() && goesOn) {
        m_transactions.release(*job->transaction);
        return;
    }
    if (!reply.ok())
        job->transaction->connection->discard();
    m_transactions.close(job->transaction->id);
    job->transaction->connection.reset();
}

void TargetHome::succeed(const JobPointer& job, TargetReply reply)
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
        result.message = "the request had not run, and is now kept from ever running";
    }
    if (changesData(job->call))
        confirm(job, reply, std::move(result));
    else
        answer(job, std::move(result), reply.status.term, reply.status.applied);
}

void TargetHome::confirm(const JobPointer& job, const TargetReply& reply, StatementAnswer result)
{
    const Term term = reply.status.term;
    const LogPosition position = reply.status.position;
    endSlot(job);
    if (m_settings.brokenRules.has(BrokenRule::Confirmation))
        return answer(job, std::move(result), term, position);
    std::weak_ptr<bool> alive = m_alive;
    const AckRule rule = policyOf(job->call).acknowledge;
    m_group.control().confirm(term, position, rule, job->call.request.deadline, [this, alive, job, result, term, position](absl::StatusOr<AckLevel> level) mutable {
        if (alive.expired())
            return;
        if (!level.ok()) {
            result.code = ResultCode::NotConfirmed;
            result.message = std::string(level.status().message());
            result.ackLevel = m_group.control().levelOf(term, position);
            return answer(job, std::move(result));
        }
        result.ackLevel = *level;
        answer(job, std::move(result), term, position);
    });
}

void TargetHome::endSlot(const JobPointer& job)
{
    if (!job->holdsSlot)
        return;
    job->holdsSlot = false;
    m_queue->finish(job->id, m_loop.now());
    std::weak_ptr<bool> alive = m_alive;
    m_loop.after(Milliseconds(0), [this, alive] {
        if (!alive.expired())
            pump();
    });
}

void TargetHome::answer(const JobPointer& job, StatementAnswer result, Term term, LogPosition position)
{
    endSlot(job);
    --m_underWay;
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
