#include "relay/RelayTarget.h"

#include "base/ResultCode.h"

#include <algorithm>
#include <utility>

namespace parsleypaddle {

namespace {

    /// Opening a connection takes two round trips and the target's session start, about 15 ms. The attempt is
    /// abandoned after this time.
    constexpr Milliseconds connectTimeout { 600 };
    /// Opening a connection to a peer daemon takes one round trip.
    constexpr Milliseconds peerConnectTimeout { 150 };
    /// Idle connections are closed after this time, because they count against the target's limit and other daemons may need
    /// them; opening a new one takes about 15 ms.
    constexpr Milliseconds idleLimit { 3'000 };
    constexpr Milliseconds rollBackTimeout { 1000 };
    /// How long a target may take to state its role before a write is sent there. It takes a round trip and no slot.
    constexpr Milliseconds proofTimeout { 150 };
    /// Interval at which the queue is checked for work that can start or that can no longer meet its deadline.
    constexpr Milliseconds queueCheckInterval { 20 };
    /// Queue capacity for each connection. Work behind a longer queue would miss its objective.
    constexpr uint32_t queuedPerConnection = 40;

    WorkQueueSettings queueSettings(uint32_t connections, uint32_t statements)
    {
        WorkQueueSettings settings;
        settings.slots = statements;
        settings.longWorkShare = 1;
        settings.capacity = connections * queuedPerConnection;
        return settings;
    }

    ConnectionPoolSettings poolSettings(bool isPeer, uint64_t seed, std::function<void(PoolEvent)> onEvent)
    {
        ConnectionPoolSettings settings;
        settings.maxConnections = 1;
        settings.connectTimeout = isPeer ? peerConnectTimeout : connectTimeout;
        settings.idleTimeout = idleLimit;
        settings.seed = seed;
        settings.onEvent = std::move(onEvent);
        return settings;
    }

}

RelaySlot::RelaySlot(std::weak_ptr<RelayTarget> target, WorkId work, std::unique_ptr<PooledConnection> connection)
    : m_target(std::move(target))
    , m_work(work)
    , m_connection(std::move(connection))
{
    if (auto locked = m_target.lock()) {
        m_targetId = locked->entry().target.id;
        m_isAtPeer = locked->entry().target.isPeer;
    }
}

RelaySlot::~RelaySlot()
{
    m_connection.reset();
    auto target = m_target.lock();
    if (target && m_isHeldForTransaction)
        target->endTransaction();
    else if (target)
        target->finish(m_work);
}

void RelaySlot::holdForTransaction()
{
    auto target = m_target.lock();
    if (target && !std::exchange(m_isHeldForTransaction, true))
        target->holdForTransaction(m_work);
}

void RelaySlot::run(std::vector<RelayStep> steps, Milliseconds timeout, std::function<void(absl::StatusOr<std::vector<RelayAnswer>>)> done)
{
    TargetBatch batch;
    batch.operation = TargetOperation::Relay;
    batch.steps = std::move(steps);
    m_connection->run(batch, timeout, [done = std::move(done)](absl::StatusOr<TargetReply> reply) {
        if (!reply.ok())
            return done(reply.status());
        done(std::move(reply->answers));
    });
}

void RelaySlot::rollBack(std::shared_ptr<RelaySlot> slot)
{
    RelayStep step;
    step.kind = RelayKind::Rollback;
    RelaySlot& self = *slot;
    self.run({ step }, rollBackTimeout, [slot = std::move(slot)](const absl::StatusOr<std::vector<RelayAnswer>>& answers) {
        const bool isClean = answers.ok() && !answers->empty() && answers->back().state == TransactionState::Idle;
        if (!isClean)
            slot->discard();
    });
}

RelayTarget::RelayTarget(EventLoop& loop, TargetConnector& connector, TargetEntry entry, uint64_t seed, std::function<void(PoolEvent)> onPoolEvent)
    : m_loop(loop)
    , m_entry(std::move(entry))
    , m_pool(ConnectionPool::create(loop, connector, m_entry.target, poolSettings(m_entry.target.isPeer, seed, std::move(onPoolEvent))))
    , m_queue(WorkQueue::create(queueSettings(1, 1)))
{
}

void RelayTarget::setLimits(uint32_t connections, uint32_t statements)
{
    if (connections == m_connectionLimit && statements == m_statementLimit)
        return;
    m_connectionLimit = connections;
    m_statementLimit = statements;
    m_pool->setLimit(connections);
    if (m_pace)
        m_pace->setBounds({ statements, connections });
    applyLimits();
}

void RelayTarget::adaptLimit(uint64_t seed, TargetPace::OnChange onChange)
{
    if (m_pace)
        return;
    m_pace = std::make_unique<TargetPace>(m_experience, ConcurrencyBounds { m_statementLimit, m_connectionLimit }, seed, std::move(onChange));
    applyLimits();
}

void RelayTarget::fixLimit()
{
    if (!m_pace)
        return;
    m_pace.reset();
    applyLimits();
}

uint32_t RelayTarget::statementLimit() const
{
    return m_pace ? m_pace->limit() : m_statementLimit;
}

void RelayTarget::applyLimits()
{
    m_appliedLimit = statementLimit();
    m_queue->setSettings(queueSettings(m_connectionLimit, m_appliedLimit));
    startQueuedWork();
}

void RelayTarget::followPace()
{
    if (m_pace->limit() != m_appliedLimit)
        applyLimits();
}

// A target counts what it reports from its start on.
void RelayTarget::setEntry(const TargetEntry& entry)
{
    const bool isRestarted = entry.sequence < m_entry.sequence;
    m_entry = entry;
    if (isRestarted)
        beginSlowly(PaceReason::Started);
}

void RelayTarget::beginSlowly(PaceReason reason)
{
    if (!m_pace)
        return;
    m_pace->begin(reason, m_loop.now());
    followPace();
}

void RelayTarget::recordAnswer(uint64_t kind, Instant sentAt, const std::optional<LogMark>& required)
{
    const Instant now = m_loop.now();
    if (!m_pace)
        return m_experience.recordAnswer(now - sentAt, now);
    if (required)
        m_experience.recordApplied(*required);
    const bool wasInUse = m_queue->waitingCount() > 0 || m_queue->runningCount() >= m_pace->limit();
    m_pace->recordAnswer({ kind, now - sentAt, wasInUse }, now);
    followPace();
}

void RelayTarget::recordRefusal(RelayError error, Instant sentAt, const std::optional<LogMark>& required)
{
    const Instant now = m_loop.now();
    if (!m_pace) {
        if (error == RelayError::Lagging || m_entry.target.isPeer)
            m_experience.recordBehind(now);
        return;
    }
    if (error == RelayError::Lagging)
        m_experience.recordLagging(required.value_or(LogMark()), now);
    else if (error == RelayError::Busy)
        m_pace->recordBusy(sentAt, now);
    else if (error == RelayError::Aborted)
        m_pace->recordFailure(sentAt, now);
    followPace();
}

// A statement may fail at every target because of its text, which does not make any of them suspected.
void RelayTarget::recordError(RelayError error, Instant sentAt)
{
    if (!m_pace)
        return;
    if (error == RelayError::TimedOut)
        m_pace->recordFailure(sentAt, m_loop.now());
    else
        m_experience.failures()->recordError(m_loop.now());
    followPace();
}

void RelayTarget::recordLost(Instant sentAt)
{
    if (!m_pace)
        return m_experience.recordUnreachable(m_loop.now());
    m_pace->recordFailure(sentAt, m_loop.now());
    followPace();
}

void RelayTarget::recordUnreachable()
{
    if (!m_pace)
        return m_experience.recordUnreachable(m_loop.now());
    m_pace->recordUnreachable(m_loop.now());
    followPace();
}

void RelayTarget::acquire(WorkItem work, const OrganisationId& organisation, Acquired acquired)
{
    work.id = WorkId(++m_lastWork);
    const Admission admission = m_queue->offer(work, m_loop.now());
    if (!admission.status.ok())
        return acquired(admission.status);
    m_waiting.emplace(work.id, WaitingWork { work, organisation, std::move(acquired) });
    startQueuedWork();
}

Milliseconds RelayTarget::expectedDelay(Milliseconds fallback) const
{
    const double busy = static_cast<double>(m_queue->waitingCount() + m_queue->runningCount());
    const double turns = 1 + busy / std::max<double>(1, statementLimit());
    return m_experience.expectedDelay(fallback, m_loop.now()) * turns;
}

void RelayTarget::finish(WorkId work)
{
    m_queue->finish(work, m_loop.now());
    startQueuedWork();
}

void RelayTarget::holdForTransaction(WorkId work)
{
    ++m_heldConnections;
    finish(work);
}

void RelayTarget::endTransaction()
{
    --m_heldConnections;
    startQueuedWork();
}

void RelayTarget::startQueuedWork()
{
    auto self = shared_from_this();
    rejectShedWork();
    // Work that starts needs a connection that no transaction holds.
    while (m_queue->runningCount() + m_heldConnections < m_connectionLimit) {
        const auto id = m_queue->startNext(m_loop.now());
        if (!id)
            break;
        auto node = m_waiting.extract(*id);
        connect(std::move(node.mapped()));
    }
    scheduleQueueCheck();
}

void RelayTarget::rejectShedWork()
{
    for (const WorkId id : m_queue->collectShed(m_loop.now())) {
        auto node = m_waiting.extract(id);
        if (!node.empty())
            node.mapped().acquired(makeError(ResultCode::Overloaded, "the statement was dropped from the queue, because it could no longer meet its deadline or more urgent work took its place, at " + m_entry.target.id.value()));
    }
}

void RelayTarget::scheduleQueueCheck()
{
    if (m_waiting.empty() || m_queueTimer != TimerId::None)
        return;
    m_queueTimer = m_loop.after(queueCheckInterval, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (!self)
            return;
        self->m_queueTimer = TimerId::None;
        self->startQueuedWork();
    });
}

void RelayTarget::connect(WaitingWork waiting)
{
    if (m_pace)
        m_pace->recordStart(m_loop.now());
    const Instant deadline = waiting.work.deadline;
    const OrganisationId organisation = waiting.organisation;
    m_pool->acquire(deadline, organisation, [weak = weak_from_this(), waiting = std::move(waiting)](absl::StatusOr<std::unique_ptr<PooledConnection>> connection) {
        auto self = weak.lock();
        if (connection.ok()) {
            auto slot = std::make_shared<RelaySlot>(weak, waiting.work.id, *std::move(connection));
            if (self && self->m_pace && waiting.work.hasEffects && self->m_pace->isUnproven())
                return prove(std::move(slot), waiting.acquired);
            return waiting.acquired(std::move(slot));
        }
        if (self)
            self->finish(waiting.work.id);
        waiting.acquired(connection.status());
    });
}

// A write that gets no answer may have run. At a target that has not answered since it failed, the target's role is requested first, on
// the connection that the write will use.
void RelayTarget::prove(std::shared_ptr<RelaySlot> slot, const Acquired& acquired)
{
    RelayStep step;
    step.kind = RelayKind::Status;
    RelaySlot& self = *slot;
    self.run({ step }, proofTimeout, [slot = std::move(slot), acquired](const absl::StatusOr<std::vector<RelayAnswer>>& answers) mutable {
        if (answers.ok())
            return acquired(std::move(slot));
        slot->discard();
        slot.reset();
        acquired(makeError(ResultCode::TargetUnreachable, "the target has failed and does not state its role, so the write was not sent"));
    });
}

}
