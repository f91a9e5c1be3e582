#include "baseline/NaiveFleet.h"

#include "base/ResultCode.h"
#include "connections/ConnectionPool.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Term firstTerm { 1 };

}

/// One naive daemon: a pool for each database's primary, in order of arrival.
class NaiveDaemon {
public:
    NaiveDaemon(EventLoop& loop, FakeTargets& targets, const FailureDomainId& domain, const Configuration& configuration, size_t daemons)
        : m_loop(loop)
        , m_connector(targets.connectorIn(domain))
    {
        for (const auto& group : configuration.groups) {
            ConnectionPoolSettings settings;
            settings.maxConnections = std::max<uint32_t>(1, group.connections / static_cast<uint32_t>(daemons));
            const TargetConfiguration& primary = group.targets.front();
            m_primaries[group.database] = { primary.id, ConnectionPool::create(loop, *m_connector, primary, settings) };
        }
    }

    void handle(const StatementRequest& request, const NaiveFleet::Done& done)
    {
        if (request.transaction && request.transaction->step != TransactionStep::Begin)
            return proceed(request, done);
        m_primaries.at(request.database).pool->acquire(request.deadline, OrganisationId(), [this, request, done](auto connection) {
            if (!connection.ok())
                return answer(request, connection.status(), done);
            run(request, std::move(*connection), done);
        });
    }

    void stop()
    {
        m_isStopped = true;
        m_running.clear();
        m_transactions.clear();
        m_primaries.clear();
    }

    bool isStopped() const { return m_isStopped; }

private:
    using ConnectionPointer = std::shared_ptr<PooledConnection>;

    struct Primary {
        TargetId id;
        std::unique_ptr<ConnectionPool> pool;
    };

    void proceed(const StatementRequest& request, const NaiveFleet::Done& done)
    {
        auto node = m_transactions.extract(request.transaction->id);
        if (node.empty())
            return answer(request, makeError(ResultCode::TransactionUnknown, "no such transaction"), done);
        run(request, node.mapped(), done);
    }

    void run(const StatementRequest& request, const ConnectionPointer& connection, const NaiveFleet::Done& done)
    {
        const uint64_t id = ++m_last;
        m_running[id] = connection;
        const Milliseconds timeout = std::max(request.deadline - m_loop.now(), Milliseconds(1));
        connection->run(batchOf(request), timeout, [this, id, request, done](absl::StatusOr<TargetReply> reply) {
            ConnectionPointer held = std::move(m_running.extract(id).mapped());
            if (!reply.ok())
                return answer(request, reply.status(), done);
            StatementAnswer made;
            made.code = ResultCode::Done;
            made.rows = std::move(reply->rows);
            made.target = m_primaries.at(request.database).id;
            if (request.transaction && request.transaction->step != TransactionStep::Commit) {
                made.transaction = request.transaction->id.isEmpty() ? TransactionId(absl::StrCat("t", id)) : request.transaction->id;
                m_transactions[made.transaction] = std::move(held);
            }
            done(std::move(made));
        });
    }

    static TargetBatch batchOf(const StatementRequest& request)
    {
        static constexpr TargetOperation operations[] = { TargetOperation::Begin, TargetOperation::Continue, TargetOperation::Commit, TargetOperation::Rollback };
        TargetBatch batch;
        batch.operation = request.mode == AccessMode::Read ? TargetOperation::Read : TargetOperation::Write;
        if (request.transaction)
            batch.operation = operations[static_cast<size_t>(request.transaction->step)];
        batch.term = firstTerm;
        batch.statement = request.statement;
        // It has no ledger: what is asked again runs again.
        batch.ledgerKey = { request.organisation, RequestId(absl::StrCat(request.id.value(), "#", request.attempt)), 0 };
        return batch;
    }

    static void answer(const StatementRequest& request, const absl::Status& status, const NaiveFleet::Done& done)
    {
        StatementAnswer made;
        made.id = request.id;
        made.code = resultCodeOf(status);
        done(std::move(made));
    }

    EventLoop& m_loop;
    std::unique_ptr<TargetConnector> m_connector;
    std::map<DatabaseId, Primary> m_primaries;
    std::map<uint64_t, ConnectionPointer> m_running;
    std::map<TransactionId, ConnectionPointer> m_transactions;
    uint64_t m_last { 0 };
    bool m_isStopped { false };
};

NaiveFleet::NaiveFleet(EventLoop& loop, FakeTargets& targets, const Configuration& configuration, const std::vector<FailureDomainId>& domains, size_t daemonsPerDomain)
{
    const size_t daemons = domains.size() * daemonsPerDomain;
    for (size_t n = 0; n < daemons; ++n)
        m_daemons.push_back(std::make_unique<NaiveDaemon>(loop, targets, domains[n % domains.size()], configuration, daemons));
}

NaiveFleet::~NaiveFleet() = default;

void NaiveFleet::handle(size_t daemon, const StatementRequest& request, const Done& done)
{
    if (!m_daemons[daemon]->isStopped())
        m_daemons[daemon]->handle(request, done);
}

void NaiveFleet::kill(size_t daemon)
{
    m_daemons[daemon]->stop();
}

bool NaiveFleet::isDead(size_t daemon) const
{
    return m_daemons[daemon]->isStopped();
}

}
